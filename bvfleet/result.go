package bvfleet

import (
	"fmt"

	"balsamvalve.example/bvclock"
)

// Result holds the outcomes of the programs.
type Result struct {
	Programs        int // that started
	InTime          int
	Late            int
	Failed          int // that failed, or had not ended by the end of the simulation
	Refusals        int
	SentTurns       int // turns sent to an engine
	WaitedTurns     int // of those, the turns that waited for a slot
	TimedOutTurns   int // of those, the turns that did not start before the caller's timeout
	PrefilledTokens int // prompt tokens that engines prefilled

	// Programs of the workspaces other than the first; 0 without workspaces.
	Others       int // programs that started
	OthersInTime int

	// Reports of the workspaces' work.
	ShareReports int
	ShareEntries int // of all reports

	Peak  []Group // by kind: programs that started during the first surge, after peakDelay
	After Group   // programs that started after the first surge
	// Recovery is the time from the end of the first surge until programs that start then are
	// in time again, but for calmLateShare.
	Recovery bvclock.Duration
}

func (simulation *simulation) summarize() Result {
	result := simulation.result
	result.Programs = len(simulation.programs)
	for _, program := range simulation.programs {
		inTime := !program.failed && program.endedAt != 0 && program.endedAt.Sub(program.startedAt) <= program.timeLimit
		if program.workspace != "" && program.workspace != workspaceName(0) {
			result.Others++
			if inTime {
				result.OthersInTime++
			}
		}
		switch {
		case program.failed || program.endedAt == 0:
			result.Failed++
		case inTime:
			result.InTime++
		default:
			result.Late++
		}
	}
	for _, engine := range simulation.engines {
		result.PrefilledTokens += engine.prefilledTokens
	}
	simulation.groupBySurge(&result)
	return result
}

// ShareInTime returns the fraction of all programs that ended in time.
func (result Result) ShareInTime() float64 {
	return float64(result.InTime) / float64(max(result.Programs, 1))
}

// ShareOthersInTime returns the fraction of the programs of the workspaces other than the
// first that ended in time.
func (result Result) ShareOthersInTime() float64 {
	return float64(result.OthersInTime) / float64(max(result.Others, 1))
}

// MeanShareEntries returns the number of entries of a report of the workspaces' work.
func (result Result) MeanShareEntries() float64 {
	return float64(result.ShareEntries) / float64(max(result.ShareReports, 1))
}

// ShareWaited returns the fraction of the turns that waited for a slot.
func (result Result) ShareWaited() float64 {
	return float64(result.WaitedTurns) / float64(max(result.SentTurns, 1))
}

// String formats the figures as one line.
func (result Result) String() string {
	return fmt.Sprintf("programs %d, in time %.3f, late %d, failed %d, refusals %d; turns %d, waited %.3f, tokens read a turn %d",
		result.Programs, result.ShareInTime(), result.Late, result.Failed, result.Refusals,
		result.SentTurns, result.ShareWaited(), result.PrefilledTokens/max(result.SentTurns, 1))
}
