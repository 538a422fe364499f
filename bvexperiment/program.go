package bvexperiment

import (
	"hash/fnv"
	"strconv"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvmodel"
)

// program is a running program.
type program struct {
	*spec
	startOrder      int // number in order of start
	parent          *program
	root            *program
	stepIndex       int // of the next call, or of the one in flight
	history         int // tokens
	historyEndpoint string
	heldTokens      int          // history tokens that the endpoint of the last turn had cached
	exchangeStart   bvclock.Time // time of the first call of the exchange
	attained        bvgate.Work  // of the root only: service of all programs of its tree
	runningChildren int          // sub-agents that have not ended
	ended           bool
	callInFlight    bool // a call is queued or in flight
	failed          bool // of the root only
}

// call is the current call of a program.
type call struct {
	*program
	id          bvgate.RequestID
	request     bvgate.Request
	model       bvmodel.Call
	endpoint    *endpoint // once the call was sent
	sent        bool
	refusals    int
	repeats     int // after an endpoint failed
	recordIndex int // of its last submission in records
}

func newProgram(spec *spec, parent *program) *program {
	created := &program{spec: spec, parent: parent}
	created.root = created
	if parent != nil {
		created.root = parent.root
	}
	return created
}

// nextCall returns the program's next call.
func (program *program) nextCall(id bvgate.RequestID) *call {
	step := program.steps[program.stepIndex]
	prompt := program.history + step.newTokens
	return &call{
		program: program,
		id:      id,
		request: bvgate.Request{
			ID: id, Member: program.member, Class: program.class, Program: program.key,
			Priority: program.priority, AttainedService: program.root.attained, PromptTokens: prompt,
			HistoryEndpoint: program.historyEndpoint, HistoryTokens: program.heldTokens, Fingerprint: program.fingerprint(),
		},
		model: bvmodel.Call{
			ID: bvmodel.CallID(id), Salt: program.member, Prefix: program.key,
			PromptTokens: prompt, PrefixTokens: program.history, OutputTokens: step.outputTokens,
		},
	}
}

func (program *program) fingerprint() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(program.key + "/" + strconv.Itoa(program.stepIndex)))
	return hash.Sum64()
}

// recordAnswer updates the program after its current call was answered.
func (program *program) recordAnswer(call *call, cached int) {
	program.history = call.model.PromptTokens + call.model.OutputTokens
	program.historyEndpoint = call.endpoint.name
	program.heldTokens = program.history
	program.root.attained += workOf(bvmodel.Service{
		Prefilled: float64(call.model.PromptTokens - cached),
		Decoded:   float64(call.model.OutputTokens),
	})
	program.stepIndex++
	program.callInFlight = false
}

// isAwaited reports whether a person currently waits for the program.
func (program *program) isAwaited() bool {
	return program.stepIndex == 0 || !program.steps[program.stepIndex-1].isAnswer || program.callInFlight
}

func (program *program) isDone() bool { return program.stepIndex >= len(program.steps) }
