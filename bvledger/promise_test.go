package bvledger_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

const (
	modelCost   = 10
	modelBudget = 60
	modelIdle   = 5 * bvclock.Minute
)

// request is one request of the callers, over all its submissions.
type request struct {
	name         string
	key          bvledger.ProgramKey
	turn         int
	unrepeatable bool
	runs         []bvledger.CallID // submissions that an endpoint ran
	answer       string            // as first told
	full         bool              // carries the whole history
	repeats      int
}

// ranBy reports whether the given submission of the request or one before it
// was run. What a later one does is no lie of this one's refusal.
func (request *request) ranBy(call bvledger.CallID) bool {
	return slices.ContainsFunc(request.runs, func(run bvledger.CallID) bool { return run <= call })
}

// submission is one call of a request at one incarnation of a host.
type submission struct {
	request  *request
	turn     int // as submitted
	told     bool
	spent    int64
	endpoint string
}

// machine is the state of one fuzz run: hosts over one faulty platform, the
// callers, and what the oracles remember.
type machine struct {
	store       *faults
	now         bvclock.Time
	hosts       []*host
	paused      []bool
	lastCall    bvledger.CallID
	lastHost    int
	submissions map[*host]map[bvledger.CallID]*submission
	programs    []bvledger.ProgramKey
	parents     map[bvledger.ProgramKey]string
	requests    map[bvledger.ProgramKey][]*request
	budgets     map[bvledger.ProgramKey]int64
	full        map[bvledger.ProgramKey]bool // has had a call with the whole history
	spent       map[bvledger.ProgramKey]int64
	held        map[bvledger.ProgramKey]map[string]bool
	kept        map[string]string // durable turn rows
	drawn       map[string]int64
	broken      []string
	steps       int
	only        string // complaints that count; empty: all
	effects     func([]bvledger.Effect) []bvledger.Effect
}

func newMachine() *machine {
	machine := &machine{
		store:       &faults{},
		now:         1,
		submissions: make(map[*host]map[bvledger.CallID]*submission),
		parents:     make(map[bvledger.ProgramKey]string),
		requests:    make(map[bvledger.ProgramKey][]*request),
		budgets:     make(map[bvledger.ProgramKey]int64),
		full:        make(map[bvledger.ProgramKey]bool),
		spent:       make(map[bvledger.ProgramKey]int64),
		held:        make(map[bvledger.ProgramKey]map[string]bool),
		kept:        make(map[string]string),
		drawn:       make(map[string]int64),
	}
	machine.store.applied = machine.checkRows
	for range 3 {
		machine.hosts = append(machine.hosts, machine.startHost())
		machine.paused = append(machine.paused, false)
	}
	machine.addProgram(bvledger.ProgramKey{Member: "piran", Program: "lesson"})
	machine.addProgram(bvledger.ProgramKey{Member: "piran", Program: "child"})
	machine.addProgram(bvledger.ProgramKey{Member: "brindley", Program: "lesson"})
	machine.addProgram(bvledger.ProgramKey{Member: "piran", Program: "grandchild"})
	machine.addProgram(bvledger.ProgramKey{Member: "piran", Program: "roster"})
	machine.parents[machine.programs[1]] = "lesson"
	machine.parents[machine.programs[3]] = "child"
	return machine
}

func (machine *machine) addProgram(key bvledger.ProgramKey) {
	machine.programs = append(machine.programs, key)
	machine.budgets[key] = modelBudget
	machine.held[key] = make(map[string]bool)
}

func (machine *machine) startHost() *host {
	machine.lastHost++
	host := newHost(fmt.Sprintf("host-%d", machine.lastHost), machine.store)
	host.effects = machine.effects
	machine.submissions[host] = make(map[bvledger.CallID]*submission)
	return host
}

func (machine *machine) fault(format string, args ...any) {
	complaint := fmt.Sprintf(format, args...)
	if strings.Contains(complaint, machine.only) {
		machine.broken = append(machine.broken, complaint)
	}
}

// submit sends a request to a host.
func (machine *machine) submit(host *host, request *request) {
	machine.lastCall++
	machine.full[request.key] = machine.full[request.key] || request.full
	machine.submissions[host][machine.lastCall] = &submission{request: request, turn: request.turn}
	host.ledger.Submit(machine.now, bvledger.Call{
		ID: machine.lastCall, Key: request.key, Parent: machine.parents[request.key],
		Request: request.name, Turn: request.turn, Digest: request.name,
		Unrepeatable: request.unrepeatable, Resent: request.repeats > 0, Messages: machine.messages(request), FullHistory: request.full, Cost: modelCost,
		Limits: bvledger.Limits{Budget: machine.budgets[request.key], Idle: modelIdle},
	})
	request.repeats++
}

// messages is what the request carries: its own, and with full all before it,
// as far as the caller knows.
func (machine *machine) messages(request *request) []byte {
	var messages []string
	for _, earlier := range machine.requests[request.key] {
		if request.full && earlier.answer != "" && earlier != request && earlier.turn < request.turn {
			messages = append(messages, text(request.key, earlier.name), earlier.answer)
		}
	}
	encoded, _ := json.Marshal(append(messages, text(request.key, request.name)))
	return encoded
}

func (machine *machine) fetch(host *host, request *request) {
	machine.lastCall++
	machine.submissions[host][machine.lastCall] = &submission{request: request}
	host.ledger.Fetch(machine.now, machine.lastCall, request.key, request.name)
}

// text is a message that shows whose it is.
func text(key bvledger.ProgramKey, content string) string {
	return key.Member + "/" + key.Program + ":" + content
}

// newRequest is the next one that the program's caller makes: it goes on when
// it has its answer or gave the last one up.
func (machine *machine) newRequest(key bvledger.ProgramKey, unrepeatable bool) *request {
	turn := 1
	for _, request := range machine.requests[key] {
		if request.answer != "" {
			turn = request.turn + 1
		}
	}
	made := &request{
		name: fmt.Sprintf("r%d", len(machine.requests[key])), key: key,
		turn: turn, unrepeatable: unrepeatable,
	}
	machine.requests[key] = append(machine.requests[key], made)
	return made
}

// send lets an endpoint run a started call, if the ledger still allows it.
func (machine *machine) send(host *host, start bvledger.Start, spent int64, endpoint string) {
	submission := machine.submissions[host][start.Call]
	machine.checkStart(submission, start)
	if !host.ledger.MayStart(machine.now, start.Call) {
		err := bvverdict.Refuse(bvverdict.Canceled, "not sent")
		host.ledger.Finish(machine.now, start.Call, bvledger.Result{Err: err})
		return
	}
	submission.spent = spent
	submission.endpoint = endpoint
	submission.request.runs = append(submission.request.runs, start.Call)
	if submission.request.unrepeatable && len(submission.request.runs) > 1 {
		machine.fault("request %s of %v ran twice", submission.request.name, submission.request.key)
	}
	machine.held[submission.request.key][endpoint] = true
	for key := submission.request.key; ; key.Program = machine.parents[key] {
		machine.spent[key] += spent
		if machine.spent[key] > modelBudget {
			machine.fault("%v spent %d of %d", key, machine.spent[key], modelBudget)
		}
		if machine.parents[key] == "" {
			break
		}
	}
	host.ledger.SetEndpoint(machine.now, start.Call, endpoint)
	host.running = append(host.running, running{call: start.Call, endpoint: endpoint})
}

// finish ends a call that an endpoint ran.
func (machine *machine) finish(host *host, run running, failed bool) {
	submission := machine.submissions[host][run.call]
	result := bvledger.Result{Endpoint: run.endpoint, Spent: submission.spent}
	if failed {
		result.Spent = 0
		result.Err = bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed, "connection lost")
	} else {
		answer := fmt.Sprintf("%s#%d", submission.request.name, run.call)
		result.Answer = []byte(text(submission.request.key, answer))
		result.Message, _ = json.Marshal([]string{string(result.Answer)})
	}
	machine.held[submission.request.key][run.endpoint] = true
	host.ledger.Finish(machine.now, run.call, result)
}

// checkStart: a call's history is its own program's, and its turn its own.
func (machine *machine) checkStart(submission *submission, start bvledger.Start) {
	request := submission.request
	if submission.turn > 0 && start.Turn != submission.turn {
		machine.fault("%s of %v runs as turn %d, not %d", request.name, request.key, start.Turn, submission.turn)
	}
	var messages []string
	if err := json.Unmarshal(start.History, &messages); err != nil {
		machine.fault("history of %v: %v", request.key, err)
	}
	// A call with the whole conversation may bring messages of a call that the
	// caller gave up; its turn is then longer.
	if len(messages) < 2*(start.Turn-1) || len(messages) > 2*(start.Turn-1) && !machine.full[request.key] {
		machine.fault("history of %v has %d messages before turn %d", request.key, len(messages), start.Turn)
	}
	for _, message := range messages {
		if !strings.HasPrefix(message, text(request.key, "")) {
			machine.fault("history of %v holds %q", request.key, message)
		}
	}
}

// step lets a host work for a round and hears what its callers are told.
func (machine *machine) step(host *host) {
	host.tick(machine.now)
	inbox := host.inbox
	host.inbox = nil
	for _, deliver := range inbox {
		deliver(machine.now)
	}
	machine.hear(host)
}

func (machine *machine) hear(host *host) {
	calls := make([]bvledger.CallID, 0, len(host.outcomes))
	for call := range host.outcomes {
		calls = append(calls, call)
	}
	slices.Sort(calls)
	for _, call := range calls {
		told := host.outcomes[call]
		submission := machine.submissions[host][call]
		if submission == nil || submission.told {
			continue
		}
		submission.told = true
		if told.answer != nil {
			machine.hearAnswer(submission.request, string(told.answer.Answer))
			submission.request.turn = max(submission.request.turn, told.answer.Turn)
			machine.checkRows()
			continue
		}
		if told.refuse.Err.Verdict() == bvverdict.NotRun && submission.request.ranBy(call) {
			machine.fault("%s of %v ran and was refused as not run: %v",
				submission.request.name, submission.request.key, told.refuse.Err)
		}
	}
	for _, released := range host.released {
		for _, endpoint := range released.Endpoints {
			delete(machine.held[released.Key], endpoint)
			if endpoint == bvledger.AnyEndpoint {
				clear(machine.held[released.Key])
			}
			host.ledger.ConfirmRelease(machine.now, released.Key, endpoint)
		}
	}
	host.released = nil
}

// hearAnswer: every answer of a request is its own, and always the same.
func (machine *machine) hearAnswer(request *request, answer string) {
	if !strings.HasPrefix(answer, text(request.key, request.name+"#")) {
		machine.fault("%s of %v was answered %q", request.name, request.key, answer)
	}
	if request.answer == "" {
		request.answer = answer
	}
	if request.answer != answer {
		machine.fault("%s of %v was answered %q after %q", request.name, request.key, answer, request.answer)
	}
}

// crash replaces a host by a new one that knows nothing.
func (machine *machine) crash(place int) {
	old := machine.hosts[place]
	machine.forgetPlacements(old)
	machine.hosts[place] = machine.startHost()
	machine.paused[place] = false
}

// leave stops a host in order, and replaces it.
func (machine *machine) leave(place int) {
	host := machine.hosts[place]
	host.ledger.Leave(machine.now)
	for range 5 {
		machine.work(host)
	}
	machine.crash(place)
}

// forgetPlacements drops from the oracle what only the crashed host knew: the
// endpoint of a call that ran on while another host took the program over and
// ended it. This gap is stated in docs/design/program-state.md.
func (machine *machine) forgetPlacements(host *host) {
	for _, submission := range machine.submissions[host] {
		key := submission.request.key
		if submission.endpoint != "" && machine.headOf(key).State.IsEnded() {
			delete(machine.held[key], submission.endpoint)
		}
	}
}

type headRow struct {
	State     bvledger.State `json:"state"`
	Turns     int            `json:"turns"`
	Endpoints []string       `json:"endpoints"`
}

func (machine *machine) headOf(key bvledger.ProgramKey) headRow {
	rows, _ := machine.store.Memory.Read(context.Background(), bvledger.HeadKey(key))
	var head headRow
	_ = json.Unmarshal(rows[0].Value, &head)
	return head
}

// checkRows: turns are only added, never changed; answers that were told are
// there; what is drawn grows only inside the budget.
func (machine *machine) checkRows() {
	for _, key := range machine.programs {
		rows, _ := machine.store.Scan(context.Background(), bvledger.TurnPrefix(key), "", 1000)
		found := make(map[string]string, len(rows))
		for _, row := range rows {
			found[row.Key] = string(row.Value)
		}
		for name, value := range machine.kept {
			if strings.HasPrefix(name, bvledger.TurnPrefix(key)) && found[name] != value {
				machine.fault("kept turn %s changed", name)
			}
		}
		for name, value := range found {
			machine.kept[name] = value
		}
		machine.checkAnswered(key, rows)
		machine.checkDrawn(key)
	}
}

func (machine *machine) checkAnswered(key bvledger.ProgramKey, rows []bvplatform.Row) {
	for _, request := range machine.requests[key] {
		if request.answer == "" || request.turn == 0 || request.unrepeatable {
			continue
		}
		kept := struct{ Answer []byte }{}
		if len(rows) >= request.turn {
			_ = json.Unmarshal(rows[request.turn-1].Value, &kept)
		}
		if !bytes.Equal(kept.Answer, []byte(request.answer)) {
			machine.fault("answer %q is not kept as turn %d", request.answer, request.turn)
		}
	}
}

func (machine *machine) checkDrawn(key bvledger.ProgramKey) {
	rows, _ := machine.store.Memory.Read(context.Background(), bvledger.AccountKey(key))
	var account struct{ Budget, Drawn int64 }
	_ = json.Unmarshal(rows[0].Value, &account)
	if account.Drawn > machine.drawn[rows[0].Key] && account.Drawn > account.Budget {
		machine.fault("%v drew %d of %d", key, account.Drawn, account.Budget)
	}
	machine.drawn[rows[0].Key] = account.Drawn
}

// recover ends all faults and lets every host work until nothing is left.
func (machine *machine) recover() {
	machine.heal()
	machine.store.land()
	for range 60 {
		machine.now = machine.now.Add(bvclock.Second)
		for _, host := range machine.hosts {
			machine.work(host)
		}
	}
}

// work sends and finishes all that a host has started.
func (machine *machine) work(host *host) {
	for range 5 {
		machine.step(host)
		for len(host.started) > 0 {
			machine.send(host, host.takeStarted(), modelCost, "engine-1")
		}
		for len(host.running) > 0 {
			machine.finish(host, host.takeRunning(), false)
		}
	}
	machine.step(host)
}

// checkGoesOn: after all faults are over, each program that hasn't ended
// either makes another turn or has no budget left for it. A caller that is
// told that its turn is taken, by a call whose answer it never heard, goes on
// with the next; one whose host finds that it is no longer the owner asks again.
func (machine *machine) checkGoesOn() {
	for _, key := range machine.programs {
		if machine.headOf(key).State.IsEnded() || machine.parents[key] != "" {
			continue
		}
		told := machine.tryTurn(key)
		for range 2 {
			if told.refuse != nil && told.refuse.Err.Code() != bvverdict.BudgetExceeded {
				told = machine.tryTurn(key)
			}
		}
		if told.answer != nil || told.refuse != nil && told.refuse.Err.Code() == bvverdict.BudgetExceeded {
			continue
		}
		machine.fault("%v makes no more turns: %+v", key, told.refuse)
	}
}

func (machine *machine) tryTurn(key bvledger.ProgramKey) outcome {
	request := machine.newRequest(key, false)
	request.turn = max(request.turn, machine.headOf(key).Turns+1)
	host := machine.hosts[0]
	machine.submit(host, request)
	call := machine.lastCall
	for range 10 {
		machine.now = machine.now.Add(bvclock.Second)
		machine.work(host)
	}
	return host.outcomes[call]
}

// checkReleased: when every program has been idle for its limit, all have
// ended and no endpoint holds anything.
func (machine *machine) checkReleased() {
	for range 12 {
		machine.now = machine.now.Add(modelIdle)
		for _, host := range machine.hosts {
			rows, _ := machine.store.Scan(context.Background(), bvledger.HeadTable, "", 1000)
			host.ledger.ReclaimScan(machine.now, rows, machine.live, modelIdle)
			machine.work(host)
		}
	}
	for _, key := range machine.programs {
		endpoints := make([]string, 0, len(machine.held[key]))
		for endpoint := range machine.held[key] {
			endpoints = append(endpoints, endpoint)
		}
		sort.Strings(endpoints)
		if len(endpoints) > 0 {
			machine.fault("%v is still held by %v, its row by %+v; hosts: %s",
				key, endpoints, machine.headOf(key), machine.states(key))
		}
	}
}

func (machine *machine) states(key bvledger.ProgramKey) string {
	var states []string
	for _, host := range machine.hosts {
		if status, found := host.ledger.Status(key); found {
			states = append(states, fmt.Sprintf("%s %+v", host.name, status))
		}
	}
	return strings.Join(states, ", ")
}

func (machine *machine) live(owner string) bool {
	return slices.ContainsFunc(machine.hosts, func(host *host) bool { return host.name == owner })
}

// promises runs one fuzz run on a machine.
func promises(t *rapid.T, machine *machine) {
	place := rapid.IntRange(0, len(machine.hosts)-1)
	few := rapid.IntRange(1, len(machine.programs)).Draw(t, "programs")
	program := rapid.SampledFrom(machine.programs[:few])
	endpoint := rapid.SampledFrom([]string{"engine-1", "engine-2", "engine-3"})
	free := func(t *rapid.T, wanted func(*host) bool) *host {
		var hosts []*host
		for i, host := range machine.hosts {
			if !machine.paused[i] && wanted(host) {
				hosts = append(hosts, host)
			}
		}
		if len(hosts) == 0 {
			t.Skip("no such host")
		}
		return rapid.SampledFrom(hosts).Draw(t, "host")
	}
	always := func(*host) bool { return true }
	actions := map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			request := machine.newRequest(program.Draw(t, "program"), rapid.Bool().Draw(t, "unrepeatable"))
			request.full = rapid.IntRange(0, 4).Draw(t, "full") == 4
			if rapid.IntRange(0, 4).Draw(t, "next") == 4 {
				request.turn = 0
			}
			machine.submit(free(t, always), request)
		},
		"repeat": func(t *rapid.T) {
			requests := machine.requests[program.Draw(t, "program")]
			if len(requests) == 0 {
				t.Skip("no request")
			}
			machine.submit(free(t, always), rapid.SampledFrom(requests).Draw(t, "request"))
		},
		"fetch": func(t *rapid.T) {
			requests := machine.requests[program.Draw(t, "program")]
			if len(requests) == 0 {
				t.Skip("no request")
			}
			machine.fetch(free(t, always), rapid.SampledFrom(requests).Draw(t, "request"))
		},
		"abandon": func(t *rapid.T) {
			call := bvledger.CallID(rapid.Uint64Range(1, uint64(machine.lastCall)+1).Draw(t, "call"))
			free(t, always).ledger.Abandon(machine.now, call)
		},
		"work": func(t *rapid.T) { machine.work(free(t, always)) },
		"send": func(t *rapid.T) {
			host := free(t, func(host *host) bool { return len(host.started) > 0 })
			spent := rapid.Int64Range(1, modelCost).Draw(t, "spent")
			machine.send(host, host.takeStarted(), spent, endpoint.Draw(t, "endpoint"))
		},
		"finish": func(t *rapid.T) {
			host := free(t, func(host *host) bool { return len(host.running) > 0 })
			machine.finish(host, host.takeRunning(), rapid.IntRange(0, 3).Draw(t, "failed") == 3)
		},
		"wait": func(t *rapid.T) {
			machine.now = machine.now.Add(bvclock.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")))
		},
		"host": func(t *rapid.T) { machine.faultHost(t, place.Draw(t, "host")) },
		"platform": func(t *rapid.T) {
			machine.faultPlatform(rapid.SampledFrom([]string{"lose", "delay", "land", "down"}).Draw(t, "platform"))
		},
		"heal": func(*rapid.T) { machine.heal() },
		"operator": func(t *rapid.T) {
			key := program.Draw(t, "program")
			machine.budgets[key] = rapid.Int64Range(modelCost, modelBudget).Draw(t, "budget")
			limits := bvledger.Limits{Budget: machine.budgets[key], Idle: modelIdle}
			free(t, always).ledger.SetLimits(machine.now, key, limits)
		},
		"rare": func(t *rapid.T) {
			if rapid.IntRange(0, 2).Draw(t, "end") < 2 {
				machine.now = machine.now.Add(bvclock.Minute)
				return
			}
			machine.lastCall++
			free(t, always).ledger.End(machine.now, program.Draw(t, "program"), machine.lastCall)
		},
	}
	for _, name := range []string{"submit", "send", "finish", "repeat", "heal"} {
		actions[name+"2"] = actions[name] // more of what leads on
		actions[name+"3"] = actions[name]
	}
	for name, action := range actions {
		actions[name] = func(t *rapid.T) {
			action(t)
			machine.steps++
			for range rapid.IntRange(0, 6).Draw(t, "steps") {
				machine.stepAll()
			}
		}
	}
	actions[""] = func(t *rapid.T) { machine.failIfBroken(t) }
	t.Repeat(actions)
	machine.recover()
	machine.checkGoesOn()
	machine.checkReleased()
	machine.failIfBroken(t)
}

func (machine *machine) faultHost(t *rapid.T, place int) {
	switch rapid.SampledFrom([]string{"pause", "resume", "crash", "leave"}).Draw(t, "fault") {
	case "pause":
		machine.paused[place] = true
	case "resume":
		machine.paused[place] = false
	case "crash":
		machine.crash(place)
	case "leave":
		machine.leave(place)
	}
}

func (machine *machine) faultPlatform(fault string) {
	switch fault {
	case "lose":
		machine.store.loseNext++
	case "delay":
		machine.store.delayNext++
	case "land":
		machine.store.land()
	case "down":
		machine.store.down = true
	}
}

// heal ends all faults but the crashes.
func (machine *machine) heal() {
	machine.store.down = false
	machine.store.loseNext = 0
	machine.store.delayNext = 0
	clear(machine.paused)
}

func (machine *machine) failIfBroken(t *rapid.T) {
	if len(machine.broken) > 0 {
		t.Fatalf("%s", strings.Join(machine.broken, "\n"))
	}
}

func (machine *machine) stepAll() {
	for i, host := range machine.hosts {
		if !machine.paused[i] {
			machine.step(host)
		}
	}
}

// seed fixes what CI explores; a run with -rapid.seed set explores others.
func seed(t *testing.T, value string) {
	t.Helper()
	for name, fixed := range map[string]string{"rapid.seed": value, "rapid.steps": "100", "rapid.nofailfile": "true"} {
		known := flag.Lookup(name)
		if known.Value.String() != known.DefValue {
			continue
		}
		set(t, name, fixed)
	}
}

func set(t *testing.T, name, value string) {
	t.Helper()
	before := flag.Lookup(name).Value.String()
	require.NoError(t, flag.Set(name, value))
	t.Cleanup(func() { _ = flag.Set(name, before) })
}

// explore sets how many runs are made, unless the command line says so.
func explore(t *testing.T, runs string) {
	t.Helper()
	known := flag.Lookup("rapid.checks")
	if known.Value.String() == known.DefValue {
		set(t, "rapid.checks", runs)
	}
}

// Guards against any promise that breaks under crashes, pauses, outages and late writes.
func TestPromisesHoldUnderFaults(t *testing.T) {
	seed(t, "4")
	explore(t, "1000")
	steps, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		machine := newMachine()
		promises(t, machine)
		steps += machine.steps
		runs++
	})
	t.Logf("%d actions in %d runs, each judged by every oracle", steps, runs)
}

// recorder takes the place of a test whose failure is expected.
type recorder struct {
	*testing.T
	failed bool
	log    []string
}

func (recorder *recorder) Errorf(format string, args ...any) {
	recorder.failed = true
	recorder.log = append(recorder.log, fmt.Sprintf(format, args...))
}

func (recorder *recorder) Logf(string, ...any) {}
func (recorder *recorder) Log(...any)          {}
func (recorder *recorder) Failed() bool        { return recorder.failed }
func (recorder *recorder) FailNow()            {}

// requireCaught runs the fuzz on machines with a broken part and wants the
// oracle to notice that watches over it.
func requireCaught(t *testing.T, complaint string, broken func(*machine)) {
	t.Helper()
	seed(t, "4")
	set(t, "rapid.shrinktime", "0s")
	set(t, "rapid.checks", "3000")
	recorder := &recorder{T: t}
	rapid.Check(recorder, func(t *rapid.T) {
		machine := newMachine()
		broken(machine)
		machine.only = complaint
		promises(t, machine)
	})
	require.True(t, recorder.failed, "no oracle noticed")
	require.Contains(t, strings.Join(recorder.log, "\n"), complaint)
}

// everyHost breaks the effects of all hosts, also of those that start later.
func everyHost(broken func([]bvledger.Effect) []bvledger.Effect) func(*machine) {
	return func(machine *machine) {
		machine.effects = broken
		for _, host := range machine.hosts {
			host.effects = broken
		}
	}
}

func TestHistoryOracleCatchesTwoOwnersThatBothWrite(t *testing.T) {
	requireCaught(t, "changed", func(machine *machine) { machine.store.ignore = bvledger.HeadTable })
}

func TestBudgetOracleCatchesUncheckedDraws(t *testing.T) {
	requireCaught(t, "spent", func(machine *machine) { machine.store.ignore = bvledger.AccountTable })
}

func TestOnceOracleCatchesUncheckedRecords(t *testing.T) {
	requireCaught(t, "ran twice", func(machine *machine) {
		machine.store.ignore = bvledger.OnceTable
		machine.store.hide = bvledger.OnceTable
	})
}

func TestOrderOracleCatchesAWrongTurn(t *testing.T) {
	requireCaught(t, "runs as turn", everyHost(func(effects []bvledger.Effect) []bvledger.Effect {
		for i, effect := range effects {
			if start, ok := effect.(bvledger.Start); ok {
				start.Turn++
				effects[i] = start
			}
		}
		return effects
	}))
}

func TestHistoryOracleCatchesAnotherProgramsContent(t *testing.T) {
	requireCaught(t, "holds", everyHost(func(effects []bvledger.Effect) []bvledger.Effect {
		for i, effect := range effects {
			if start, ok := effect.(bvledger.Start); ok && start.Turn > 1 {
				start.History = []byte(`["brindley/quote:a","piran/lesson:b"]`)
				effects[i] = start
			}
		}
		return effects
	}))
}

func TestAnswerOracleCatchesCrossedAnswers(t *testing.T) {
	requireCaught(t, "was answered", everyHost(func(effects []bvledger.Effect) []bvledger.Effect {
		for i, effect := range effects {
			if answer, ok := effect.(bvledger.Answer); ok && answer.Answer != nil {
				answer.Answer = []byte("somebody else's")
				effects[i] = answer
			}
		}
		return effects
	}))
}

func TestKeptOracleCatchesAnAnswerBeforeItsCommit(t *testing.T) {
	requireCaught(t, "is not kept", everyHost(func(effects []bvledger.Effect) []bvledger.Effect {
		return slices.DeleteFunc(effects, func(effect bvledger.Effect) bool {
			commit, ok := effect.(bvledger.Commit)
			if ok {
				puts := commit.Entry.Puts
				for i := range puts {
					if strings.HasPrefix(puts[i].Key, bvledger.TurnTable) {
						puts[i].Value = []byte("{}")
					}
				}
			}
			return false
		})
	}))
}

func TestTruthOracleCatchesAFalseNotRun(t *testing.T) {
	requireCaught(t, "refused as not run", everyHost(func(effects []bvledger.Effect) []bvledger.Effect {
		for i, effect := range effects {
			if refuse, ok := effect.(bvledger.Refuse); ok {
				refuse.Err = bvverdict.Refuse(refuse.Err.Code(), "always not run")
				effects[i] = refuse
			}
		}
		return effects
	}))
}

func TestReleaseOracleCatchesALostRelease(t *testing.T) {
	requireCaught(t, "still held", everyHost(func(effects []bvledger.Effect) []bvledger.Effect {
		return slices.DeleteFunc(effects, func(effect bvledger.Effect) bool {
			_, ok := effect.(bvledger.Release)
			return ok
		})
	}))
}
