package bvfleet

import (
	"math"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvroute"
)

// program is an agent program's row.
type program struct {
	kind      *Kind
	workspace string
	begun     bvclock.Time
	aim       bvclock.Duration
	turns     []turn
	at        int // the turn that is to come or under way
	host      int
	ended     bvclock.Time // 0: not yet

	prefix []bvroute.Part
	tokens int // of prefix
	tries  int // of the turn
	sends  int // of the turn, each with its tries
	failed bool
	held   bvdispatch.HeldPrefix // where its last turn ran
}

// turn is one turn of a program, as it is drawn.
type turn struct {
	input  bvroute.Part
	output float64 // tokens
	pause  bvclock.Duration
}

// call is a turn that was sent to an engine.
type call struct {
	program *program
	request *bvdispatch.Request
	host    int
	engine  *engine
	sentAt  bvclock.Time
	urgency int
	started bool
	unread  float64 // tokens of the prompt that are still to be read
	left    float64 // tokens still to be generated
	over    bool
}

// draw makes a program of a kind that begins now.
func (play *simulation) draw(kind int) *program {
	spec := &play.load.Kinds[kind]
	drawn := &program{kind: spec, begun: play.now, host: play.random.IntN(play.load.Hosts)}
	drawn.extend(play.beginning(kind))
	idle := 0.0
	for range max(1, int(math.Round(spec.Turns.draw(play.random)))) {
		turn := turn{
			input:  play.newPart(spec.Input),
			output: spec.Output.draw(play.random),
			pause:  bvclock.Duration(spec.Pause.draw(play.random)),
		}
		drawn.turns = append(drawn.turns, turn)
		idle += float64(turn.input.Tokens)/play.load.Engine.PrefillRate + turn.output*play.load.Engine.TokenTime + float64(turn.pause+2*way)
	}
	drawn.aim = bvclock.Duration(spec.Slack * idle)
	drawn.extend(drawn.turns[0].input)
	return drawn
}

// beginningSkew is by which power the use of a beginning falls with its rank.
const beginningSkew = 0.7

// beginning draws one of the long parts that programs of a kind begin with.
func (play *simulation) beginning(kind int) bvroute.Part {
	parts := play.beginnings[kind]
	sum := 0.0
	for i := range parts {
		sum += math.Pow(float64(i+1), -beginningSkew)
	}
	left := play.random.Float64() * sum
	for i := range parts {
		if left -= math.Pow(float64(i+1), -beginningSkew); left <= 0 {
			return parts[i]
		}
	}
	return parts[len(parts)-1]
}

func (play *simulation) newPart(size Lognormal) bvroute.Part {
	play.partsMade++
	return bvroute.Part{Key: play.partsMade, Tokens: int(size.draw(play.random))}
}

// extend adds a part to the program's prompt. Calls under way keep theirs.
func (program *program) extend(part bvroute.Part) {
	program.prefix = append(program.prefix[:len(program.prefix):len(program.prefix)], part)
	program.tokens += part.Tokens
}
