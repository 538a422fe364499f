package bvfleet

import (
	"math"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvroute"
)

// program is the state of an agent program.
type program struct {
	kind      *Kind
	kindIndex int
	workspace string
	startedAt bvclock.Time
	timeLimit bvclock.Duration
	turns     []turn
	turnIndex int // the next turn, or the one in flight
	host      int
	endedAt   bvclock.Time // 0: not yet

	prefix       []bvroute.Part
	promptTokens int // of prefix
	attempts     int // of the turn
	sends        int // of the turn, each with its attempts
	failed       bool
	refused      bool                  // the last attempt was refused
	dueAt        bvclock.Time          // when it may retry
	refusedAt    bvclock.Time          // first, because of its deadline; 0: never
	heldPrefix   bvdispatch.HeldPrefix // prompt cached by the engine of the last turn
}

// turn is one turn of a program, as drawn from the seed.
type turn struct {
	input  bvroute.Part
	output float64 // tokens
	pause  bvclock.Duration
}

// call is a turn that was sent to an engine.
type call struct {
	program     *program
	request     *bvdispatch.Request
	host        int
	engine      *engine
	sentAt      bvclock.Time
	urgency     int
	started     bool
	generating  bool
	firstAt     bvclock.Time // when it began to generate; used with slow engines
	pace        int          // that the engine reported then, in percent
	unprefilled float64      // prompt tokens left to prefill
	output      float64      // tokens to generate
	outputLeft  float64      // of these
	ended       bool
}

// drawProgram draws a program of a kind that starts now.
func (simulation *simulation) drawProgram(kind int) *program {
	spec := &simulation.load.Kinds[kind]
	drawn := &program{kind: spec, kindIndex: kind, startedAt: simulation.now, host: simulation.random.IntN(simulation.load.Hosts)}
	drawn.extend(simulation.drawSharedPrefix(kind))
	idle := 0.0
	for range max(1, int(math.Round(spec.Turns.draw(simulation.random)))) {
		turn := turn{
			input:  simulation.newPart(spec.Input),
			output: spec.Output.draw(simulation.random),
			pause:  bvclock.Duration(spec.Pause.draw(simulation.random)),
		}
		drawn.turns = append(drawn.turns, turn)
		idle += float64(turn.input.Tokens)/simulation.load.Engine.PrefillRate + turn.output*simulation.load.Engine.TokenTime + float64(turn.pause+2*callerLatency)
	}
	drawn.timeLimit = bvclock.Duration(spec.Slack*idle) + spec.ExtraTime
	drawn.extend(drawn.turns[0].input)
	return drawn
}

// prefixSkew is the Zipf exponent of the use of shared prefixes.
const prefixSkew = 0.7

// drawSharedPrefix draws one of the long prefixes that programs of a kind share.
func (simulation *simulation) drawSharedPrefix(kind int) bvroute.Part {
	parts := simulation.sharedPrefixes[kind]
	sum := 0.0
	for i := range parts {
		sum += math.Pow(float64(i+1), -prefixSkew)
	}
	left := simulation.random.Float64() * sum
	for i := range parts {
		if left -= math.Pow(float64(i+1), -prefixSkew); left <= 0 {
			return parts[i]
		}
	}
	return parts[len(parts)-1]
}

func (simulation *simulation) newPart(size Lognormal) bvroute.Part {
	simulation.lastPartKey++
	return bvroute.Part{Key: simulation.lastPartKey, Tokens: int(size.draw(simulation.random))}
}

// extend adds a part to the program's prompt. It copies the prompt, so that calls in
// flight keep theirs.
func (program *program) extend(part bvroute.Part) {
	program.prefix = append(program.prefix[:len(program.prefix):len(program.prefix)], part)
	program.promptTokens += part.Tokens
}
