package bvexperiment

import (
	"hash/fnv"
	"strconv"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvmodel"
)

// program is a program under way.
type program struct {
	*spec
	order    int // of its begin
	parent   *program
	root     *program
	at       int // step
	history  int // tokens
	from     string
	held     int          // tokens of the history that the endpoint of the last turn had
	asked    bvclock.Time // first call of the exchange
	attained bvgate.Work  // of the root only: service of the whole tree
	children int          // sub-agents under way
	ended    bool
	asking   bool // a call is under way
	failed   bool // of the root only
}

// call is the current call of a program.
type call struct {
	*program
	id       bvgate.RequestID
	request  bvgate.Request
	model    bvmodel.Call
	endpoint *endpoint // once it was sent
	sent     bool
	refusals int
	repeats  int // after an endpoint failed
	record   int // of its last request in records
}

func newProgram(spec *spec, parent *program) *program {
	begun := &program{spec: spec, parent: parent}
	begun.root = begun
	if parent != nil {
		begun.root = parent.root
	}
	return begun
}

// next builds the program's next call.
func (program *program) next(id bvgate.RequestID) *call {
	step := program.steps[program.at]
	prompt := program.history + step.fresh
	return &call{
		program: program,
		id:      id,
		request: bvgate.Request{
			ID: id, Member: program.member, Class: program.class, Program: program.key,
			Priority: program.priority, AttainedService: program.root.attained, PromptTokens: prompt,
			HistoryEndpoint: program.from, HistoryTokens: program.held, Fingerprint: program.fingerprint(),
		},
		model: bvmodel.Call{
			ID: bvmodel.CallID(id), Salt: program.member, Prefix: program.key,
			PromptTokens: prompt, PrefixTokens: program.history, OutputTokens: step.output,
		},
	}
}

func (program *program) fingerprint() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(program.key + "/" + strconv.Itoa(program.at)))
	return hash.Sum64()
}

// finish notes that the current call's answer is there.
func (program *program) finish(call *call, cached int) {
	program.history = call.model.PromptTokens + call.model.OutputTokens
	program.from = call.endpoint.name
	program.held = program.history
	program.root.attained += workOf(bvmodel.Service{
		Prefilled: float64(call.model.PromptTokens - cached),
		Decoded:   float64(call.model.OutputTokens),
	})
	program.at++
	program.asking = false
}

// waited reports whether a person waits for the program right now.
func (program *program) waited() bool {
	return program.at == 0 || !program.steps[program.at-1].answers || program.asking
}

func (program *program) done() bool { return program.at >= len(program.steps) }
