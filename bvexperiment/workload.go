package bvexperiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmodel"
)

// The members of the brief.
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

// step is one call of a program and what comes after it.
type step struct {
	fresh    int // tokens of the prompt that are new
	output   int
	pause    bvclock.Duration // until the program's next call
	children []*spec          // sub-agents that run before the next call
	answers  bool             // the output is what a person waits for
}

// spec is a program as it will turn out, with all its calls.
type spec struct {
	member    string
	class     string
	key       string
	priority  int
	arrival   bvclock.Time
	steps     []step
	poisonous bool
}

// lognormal is a heavy-tailed size with a median and an upper bound.
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

// shape is how the programs of a class look.
type shape struct {
	class          string
	priority       int
	prompt         lognormal // tokens of the first prompt
	fresh          lognormal // tokens that each later turn adds
	output         lognormal // tokens
	pause          lognormal // milliseconds
	turns          lognormal
	subAgents      float64 // chance that a turn spawns sub-agents
	maxSubAgents   int
	subAgent       *shape
	exchanges      int       // of a conversation, on average; 0 means no conversation
	betweenAnswers lognormal // milliseconds between two exchanges
}

// Piran's programs are short and a person waits for each.
func bookingShape() *shape {
	return &shape{
		class:  classBooking,
		prompt: lognormal{900, 0.4, 4000}, fresh: lognormal{150, 0.6, 1500}, output: lognormal{40, 0.7, 400},
		pause: lognormal{300, 0.8, 5000}, turns: lognormal{4, 0.4, 12},
		subAgents: 0.03, maxSubAgents: 4, subAgent: rosterShape(),
	}
}

func rosterShape() *shape {
	return &shape{
		class:  classRoster,
		prompt: lognormal{1200, 0.5, 6000}, fresh: lognormal{250, 0.6, 2000}, output: lognormal{80, 0.7, 600},
		pause: lognormal{300, 0.8, 5000}, turns: lognormal{3, 0.4, 8},
	}
}

// Brindley & Coxall's quotes have many turns, some of them very many.
func quotingShape() *shape {
	return &shape{
		class:  classQuoting,
		prompt: lognormal{1500, 0.6, 8000}, fresh: lognormal{300, 0.8, 4000}, output: lognormal{90, 0.9, 1500},
		pause: lognormal{500, 1.0, 15000}, turns: lognormal{6, 0.9, 60},
		subAgents: 0.03, maxSubAgents: 3, subAgent: &shape{
			class:  classQuoting,
			prompt: lognormal{1000, 0.5, 6000}, fresh: lognormal{250, 0.6, 2000}, output: lognormal{80, 0.8, 800},
			pause: lognormal{400, 0.9, 8000}, turns: lognormal{3, 0.5, 10},
		},
	}
}

// The account assistant keeps a buyer's conversation across the week: a long
// history, and pauses between exchanges that are scaled down to fit the run.
func assistantShape() *shape {
	return &shape{
		class: classAssistant, priority: 1,
		prompt: lognormal{6000, 0.8, 30000}, fresh: lognormal{200, 0.6, 2000}, output: lognormal{120, 0.7, 1000},
		pause: lognormal{400, 0.9, 8000}, turns: lognormal{1.7, 0.4, 4},
		exchanges: 3, betweenAnswers: lognormal{20000, 0.8, 120000},
	}
}

// program draws a whole program.
func (shape *shape) program(random *rand.Rand, member, key string) *spec {
	program := &spec{member: member, class: shape.class, key: key, priority: shape.priority}
	exchanges := 1
	if shape.exchanges > 0 {
		exchanges = 1 + random.IntN(2*shape.exchanges-1)
	}
	for range exchanges {
		shape.exchange(random, program)
	}
	program.steps[0].fresh = shape.prompt.tokens(random)
	program.steps[len(program.steps)-1].pause = 0
	return program
}

// exchange adds the turns up to the next answer for a person.
func (shape *shape) exchange(random *rand.Rand, program *spec) {
	turns := max(1, int(math.Round(shape.turns.draw(random))))
	for turn := range turns {
		next := step{
			fresh:  shape.fresh.tokens(random),
			output: shape.output.tokens(random),
			pause:  shape.pause.duration(random),
		}
		last := turn == turns-1
		if !last && random.Float64() < shape.subAgents {
			next.children = shape.spawn(random, program, len(program.steps))
		}
		if last {
			next.answers = true
			next.pause = shape.betweenAnswers.duration(random)
		}
		program.steps = append(program.steps, next)
	}
}

func (shape *shape) spawn(random *rand.Rand, parent *spec, turn int) []*spec {
	children := make([]*spec, 1+random.IntN(shape.maxSubAgents))
	for at := range children {
		children[at] = shape.subAgent.program(random, parent.member, fmt.Sprintf("%s.%d.%d", parent.key, turn, at))
		children[at].priority = parent.priority
	}
	return children
}

// expectedPause is what an owner knows of a class from earlier programs: its
// usual pause.
func expectedPause(class string) bvclock.Duration {
	for _, shape := range []*shape{bookingShape(), rosterShape(), quotingShape(), assistantShape()} {
		if shape.class == class {
			return bvclock.Duration(shape.pause.median)
		}
	}
	return 0
}

// seconds is the time that a call occupies a slot of a full batch when all of
// its program's history is cached.
func (step step) seconds(config bvmodel.Config) float64 {
	alone := float64(step.output) / config.DecodeTokensPerSecond
	stretch := 1 + config.Slowdown*float64(config.Slots-1)
	return float64(step.fresh)/config.PrefillTokensPerSecond + alone*stretch
}

// seconds is the service that a program needs from a step on, sub-agents
// included.
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

// part is a class's part of a member's mix.
type part struct {
	shape *shape
	count float64 // programs of the class among all of the member's
}

// mix is what a member runs.
type mix struct {
	member string
	parts  []part
}

func piranMix() mix {
	return mix{member: piran, parts: []part{{bookingShape(), 1}}}
}

func brindleyMix() mix {
	return mix{member: brindley, parts: []part{{quotingShape(), 0.75}, {assistantShape(), 0.25}}}
}

func assistantMix() mix {
	return mix{member: brindley, parts: []part{{assistantShape(), 1}}}
}

// longPauseMix returns a mix with other pauses on tools.
func longPauseMix(original mix, median float64) mix {
	changed := mix{member: original.member}
	for _, each := range original.parts {
		shape := *each.shape
		shape.pause = lognormal{median, 0.8, 8 * median}
		changed.parts = append(changed.parts, part{&shape, each.count})
	}
	return changed
}

func (mix mix) draw(random *rand.Rand, key string) *spec {
	chosen := random.Float64()
	for _, part := range mix.parts {
		if chosen < part.count {
			return part.shape.program(random, mix.member, key)
		}
		chosen -= part.count
	}
	last := mix.parts[len(mix.parts)-1]
	return last.shape.program(random, mix.member, key)
}

// meanSeconds is the service that a program of the mix needs on average,
// estimated from a fixed sample.
func (mix mix) meanSeconds(config bvmodel.Config) float64 {
	const sample = 4000
	random := rand.New(rand.NewPCG(1, 1))
	total := 0.0
	for range sample {
		total += mix.draw(random, "").seconds(config, 0)
	}
	return total / sample
}

// arrivals draws the programs that begin between two times. Load is the part
// of the pool's slots that they would occupy on average with every history
// cached.
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

// endlessLoops is a number of programs that call again and again and never
// come to an answer; their history grows up to the model's context.
func endlessLoops(count int, at bvclock.Time) []*spec {
	const (
		turns        = 500
		fresh        = 20
		output       = 80
		promptTokens = 1000
	)
	steps := make([]step, turns)
	for turn := range steps {
		steps[turn] = step{fresh: fresh, output: output}
	}
	steps[0].fresh = promptTokens
	programs := make([]*spec, count)
	for each := range programs {
		programs[each] = &spec{
			member: brindley, class: classLoop, key: fmt.Sprintf("loop-%d", each), steps: steps,
			arrival: at.Add(bvclock.Duration(each) * 10 * bvclock.Millisecond),
		}
	}
	return programs
}

// byArrival joins the programs of several members.
func byArrival(groups ...[]*spec) []*spec {
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
