package bvexperiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmodel"
)

// The members.
const (
	piran    = "piran"
	brindley = "brindley"
)

// Rows of the operators' table.
const (
	classBooking   = "booking"
	classRoster    = "roster"
	classQuoting   = "quoting"
	classAssistant = "assistant"
	classLoop      = "loop"
)

// step is one call of a program and the pause or sub-agents that follow it.
type step struct {
	newTokens    int // prompt tokens after the history
	outputTokens int
	pause        bvclock.Duration // until the program's next call
	children     []*spec          // sub-agents that run before the next call
	isAnswer     bool             // a person waits for the output
}

// spec is a complete program with all its calls, drawn before the run.
type spec struct {
	member    string
	class     string
	key       string
	priority  int
	arrival   bvclock.Time
	steps     []step
	poisonous bool
}

// lognormal is a heavy-tailed distribution with a median and an upper bound.
type lognormal struct {
	median, sigma, limit float64
}

func (size lognormal) draw(random *rand.Rand) float64 {
	return min(size.median*math.Exp(size.sigma*random.NormFloat64()), size.limit)
}

func (size lognormal) tokens(random *rand.Rand) int {
	return max(1, int(size.draw(random)))
}

func (size lognormal) duration(random *rand.Rand) bvclock.Duration {
	return bvclock.Duration(size.draw(random))
}

// shape describes the programs of a class.
type shape struct {
	class        string
	priority     int
	promptTokens lognormal // tokens of the first prompt
	newTokens    lognormal // tokens that each later turn adds
	outputTokens lognormal // tokens
	pause        lognormal // milliseconds
	turns        lognormal
	subAgents    float64 // probability that a turn starts sub-agents
	maxSubAgents int
	subAgent     *shape
	exchanges    int       // of a conversation, on average; 0 means no conversation
	answerPause  lognormal // milliseconds between two exchanges
}

// Piran's programs are short and a person waits for each.
func bookingShape() *shape {
	return &shape{
		class:        classBooking,
		promptTokens: lognormal{900, 0.4, 4000}, newTokens: lognormal{150, 0.6, 1500}, outputTokens: lognormal{40, 0.7, 400},
		pause: lognormal{300, 0.8, 5000}, turns: lognormal{4, 0.4, 12},
		subAgents: 0.03, maxSubAgents: 4, subAgent: rosterShape(),
	}
}

func rosterShape() *shape {
	return &shape{
		class:        classRoster,
		promptTokens: lognormal{1200, 0.5, 6000}, newTokens: lognormal{250, 0.6, 2000}, outputTokens: lognormal{80, 0.7, 600},
		pause: lognormal{300, 0.8, 5000}, turns: lognormal{3, 0.4, 8},
	}
}

// Brindley & Coxall's quoting programs have many turns, and a few have very many.
func quotingShape() *shape {
	return &shape{
		class:        classQuoting,
		promptTokens: lognormal{1500, 0.6, 8000}, newTokens: lognormal{300, 0.8, 4000}, outputTokens: lognormal{90, 0.9, 1500},
		pause: lognormal{500, 1.0, 15000}, turns: lognormal{6, 0.9, 60},
		subAgents: 0.03, maxSubAgents: 3, subAgent: &shape{
			class:        classQuoting,
			promptTokens: lognormal{1000, 0.5, 6000}, newTokens: lognormal{250, 0.6, 2000}, outputTokens: lognormal{80, 0.8, 800},
			pause: lognormal{400, 0.9, 8000}, turns: lognormal{3, 0.5, 10},
		},
	}
}

// The account assistant continues a buyer's conversation across the week: it has a
// long history, and pauses between exchanges that are scaled down to fit the run.
func assistantShape() *shape {
	return &shape{
		class: classAssistant, priority: 1,
		promptTokens: lognormal{6000, 0.8, 30000}, newTokens: lognormal{200, 0.6, 2000}, outputTokens: lognormal{120, 0.7, 1000},
		pause: lognormal{400, 0.9, 8000}, turns: lognormal{1.7, 0.4, 4},
		exchanges: 3, answerPause: lognormal{20000, 0.8, 120000},
	}
}

// drawProgram draws a complete program.
func (shape *shape) drawProgram(random *rand.Rand, member, key string) *spec {
	program := &spec{member: member, class: shape.class, key: key, priority: shape.priority}
	exchanges := 1
	if shape.exchanges > 0 {
		exchanges = 1 + random.IntN(2*shape.exchanges-1)
	}
	for range exchanges {
		shape.addExchange(random, program)
	}
	program.steps[0].newTokens = shape.promptTokens.tokens(random)
	program.steps[len(program.steps)-1].pause = 0
	return program
}

// addExchange adds the turns up to the next answer for a person.
func (shape *shape) addExchange(random *rand.Rand, program *spec) {
	turns := max(1, int(math.Round(shape.turns.draw(random))))
	for turn := range turns {
		next := step{
			newTokens:    shape.newTokens.tokens(random),
			outputTokens: shape.outputTokens.tokens(random),
			pause:        shape.pause.duration(random),
		}
		last := turn == turns-1
		if !last && random.Float64() < shape.subAgents {
			next.children = shape.drawSubAgents(random, program, len(program.steps))
		}
		if last {
			next.isAnswer = true
			next.pause = shape.answerPause.duration(random)
		}
		program.steps = append(program.steps, next)
	}
}

func (shape *shape) drawSubAgents(random *rand.Rand, parent *spec, turn int) []*spec {
	children := make([]*spec, 1+random.IntN(shape.maxSubAgents))
	for at := range children {
		children[at] = shape.subAgent.drawProgram(random, parent.member, fmt.Sprintf("%s.%d.%d", parent.key, turn, at))
		children[at].priority = parent.priority
	}
	return children
}

// expectedPause returns the usual pause of a class, which an owner knows from earlier
// programs.
func expectedPause(class string) bvclock.Duration {
	for _, shape := range []*shape{bookingShape(), rosterShape(), quotingShape(), assistantShape()} {
		if shape.class == class {
			return bvclock.Duration(shape.pause.median)
		}
	}
	return 0
}

// seconds returns the time for which a call occupies a slot of a full batch if its
// program's history is fully cached.
func (step step) seconds(config bvmodel.Config) float64 {
	alone := float64(step.outputTokens) / config.DecodeTokensPerSecond
	stretch := 1 + config.Slowdown*float64(config.Slots-1)
	return float64(step.newTokens)/config.PrefillTokensPerSecond + alone*stretch
}

// seconds returns the service that a program needs from a step on, including its
// sub-agents.
func (program *spec) seconds(config bvmodel.Config, from int) float64 {
	total := 0.0
	for _, step := range program.steps[from:] {
		total += step.seconds(config)
		for _, child := range step.children {
			total += child.seconds(config, 0)
		}
	}
	return total
}

// mixPart is a class's share of a member's mix.
type mixPart struct {
	shape    *shape
	fraction float64 // of the member's programs
}

// mix is the set of programs that a member runs.
type mix struct {
	member string
	parts  []mixPart
}

func piranMix() mix {
	return mix{member: piran, parts: []mixPart{{bookingShape(), 1}}}
}

func brindleyMix() mix {
	return mix{member: brindley, parts: []mixPart{{quotingShape(), 0.75}, {assistantShape(), 0.25}}}
}

func assistantMix() mix {
	return mix{member: brindley, parts: []mixPart{{assistantShape(), 1}}}
}

// longPauseMix returns a copy of a mix with different tool pauses.
func longPauseMix(original mix, median float64) mix {
	changed := mix{member: original.member}
	for _, each := range original.parts {
		shape := *each.shape
		shape.pause = lognormal{median, 0.8, 8 * median}
		changed.parts = append(changed.parts, mixPart{&shape, each.fraction})
	}
	return changed
}

func (mix mix) draw(random *rand.Rand, key string) *spec {
	chosen := random.Float64()
	for _, part := range mix.parts {
		if chosen < part.fraction {
			return part.shape.drawProgram(random, mix.member, key)
		}
		chosen -= part.fraction
	}
	last := mix.parts[len(mix.parts)-1]
	return last.shape.drawProgram(random, mix.member, key)
}

// meanSeconds returns the mean service that a program of the mix needs, estimated from
// a fixed sample.
func (mix mix) meanSeconds(config bvmodel.Config) float64 {
	const sample = 4000
	random := rand.New(rand.NewPCG(1, 1))
	total := 0.0
	for range sample {
		total += mix.draw(random, "").seconds(config, 0)
	}
	return total / sample
}

// arrivals draws the programs that start between two times. Load is the fraction of the
// pool's slots that they would occupy on average if every history were cached.
func (mix mix) arrivals(seed uint64, load float64, pool poolSize, from, to bvclock.Time) []*spec {
	if load <= 0 {
		return nil
	}
	stream := uint64(0)
	for _, letter := range mix.member {
		stream = stream*31 + uint64(letter)
	}
	random := rand.New(rand.NewPCG(seed, stream))
	rate := load * float64(pool.slots()) / mix.meanSeconds(pool.config) / float64(bvclock.Second)
	var programs []*spec
	at := float64(from)
	for {
		at += random.ExpFloat64() / rate
		if at >= float64(to) {
			return programs
		}
		program := mix.draw(random, fmt.Sprintf("%s-%d", mix.member, len(programs)))
		program.arrival = bvclock.Time(at)
		programs = append(programs, program)
	}
}

// endlessLoops returns programs that make calls without reaching an answer during the
// run; their history grows up to the model's context.
func endlessLoops(count int, at bvclock.Time) []*spec {
	const (
		turns        = 500
		fresh        = 20
		output       = 80
		promptTokens = 1000
	)
	steps := make([]step, turns)
	for turn := range steps {
		steps[turn] = step{newTokens: fresh, outputTokens: output}
	}
	steps[0].newTokens = promptTokens
	programs := make([]*spec, count)
	for each := range programs {
		programs[each] = &spec{
			member: brindley, class: classLoop, key: fmt.Sprintf("loop-%d", each), steps: steps,
			arrival: at.Add(bvclock.Duration(each) * 10 * bvclock.Millisecond),
		}
	}
	return programs
}

// mergeByArrival merges the programs of several members in order of arrival.
func mergeByArrival(groups ...[]*spec) []*spec {
	all := slices.Concat(groups...)
	slices.SortStableFunc(all, func(a, b *spec) int { return int(a.arrival - b.arrival) })
	return all
}

// poolSize is the size of the pool of endpoints.
type poolSize struct {
	config  bvmodel.Config
	engines int
	zones   int
}

func (pool poolSize) slots() int { return pool.engines * pool.config.Slots }
