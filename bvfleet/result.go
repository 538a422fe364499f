package bvfleet

import "fmt"

// Result is what callers got.
type Result struct {
	Programs int // that began
	InTime   int
	Late     int
	Failed   int // that failed, or had not ended by the play's end
	Refusals int
	Sent     int // turns that were sent to an engine
	Waited   int // of those, for a slot
	Read     int // prompt tokens that engines read

	// Of the workspaces other than the first, where there are any.
	Others       int // programs that began
	OthersInTime int
}

func (play *simulation) sum() Result {
	result := play.result
	result.Programs = len(play.programs)
	for _, program := range play.programs {
		inTime := !program.failed && program.ended != 0 && program.ended.Sub(program.begun) <= program.aim
		if program.workspace != "" && program.workspace != workspaceName(0) {
			result.Others++
			if inTime {
				result.OthersInTime++
			}
		}
		switch {
		case program.failed || program.ended == 0:
			result.Failed++
		case inTime:
			result.InTime++
		default:
			result.Late++
		}
	}
	for _, engine := range play.engines {
		result.Read += engine.read
	}
	return result
}

// ShareInTime is the share of all programs that ended in time.
func (result Result) ShareInTime() float64 {
	return float64(result.InTime) / float64(max(result.Programs, 1))
}

// ShareOthersInTime is the share of the programs of the workspaces other than the
// first that ended in time.
func (result Result) ShareOthersInTime() float64 {
	return float64(result.OthersInTime) / float64(max(result.Others, 1))
}

// ShareWaited is the share of the turns that waited for a slot.
func (result Result) ShareWaited() float64 {
	return float64(result.Waited) / float64(max(result.Sent, 1))
}

// String shows the figures in one line.
func (result Result) String() string {
	return fmt.Sprintf("programs %d, in time %.3f, late %d, failed %d, refusals %d; turns %d, waited %.3f, tokens read a turn %d",
		result.Programs, result.ShareInTime(), result.Late, result.Failed, result.Refusals,
		result.Sent, result.ShareWaited(), result.Read/max(result.Sent, 1))
}
