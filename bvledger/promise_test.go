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
	name          string
	key           bvledger.ProgramKey
	turn          int
	unrepeatable  bool
	runs          []bvledger.CallID // submissions that an endpoint ran
	answer        string            // the first one received
	isFullHistory bool              // contains the whole history
	repeats       int
}

// wasRunBy reports whether the given submission of the request or an earlier one was
// run. A later one that runs does not make this one's refusal false.
func (request *request) wasRunBy(call bvledger.CallID) bool {
	return slices.ContainsFunc(request.runs, func(run bvledger.CallID) bool { return run <= call })
}

// submission is one submission of a request to one incarnation of a host.
type submission struct {
	request    *request
	turn       int // as submitted
	hasOutcome bool
	spent      int64
	endpoint   string
}

// machine is the state of one fuzz run: hosts with one faulty platform, the callers, and
// the state of the oracles.
type machine struct {
	store          *faultyStore
	now            bvclock.Time
	hosts          []*host
	paused         []bool
	lastCall       bvledger.CallID
	lastHost       int
	submissions    map[*host]map[bvledger.CallID]*submission
	programs       []bvledger.ProgramKey
	parents        map[bvledger.ProgramKey]string
	requests       map[bvledger.ProgramKey][]*request
	budgets        map[bvledger.ProgramKey]int64
	hasFullHistory map[bvledger.ProgramKey]bool // has had a call with the whole history
	spent          map[bvledger.ProgramKey]int64
	cachedAt       map[bvledger.ProgramKey]map[string]bool
	storedTurns    map[string]string // durable turn rows
	drawn          map[string]int64
	failures       []string
	steps          int
	filter         string // only failures whose message contains it count; empty: all
	alterEffects   func([]bvledger.Effect) []bvledger.Effect
}

func newMachine() *machine {
	machine := &machine{
		store:          &faultyStore{},
		now:            1,
		submissions:    make(map[*host]map[bvledger.CallID]*submission),
		parents:        make(map[bvledger.ProgramKey]string),
		requests:       make(map[bvledger.ProgramKey][]*request),
		budgets:        make(map[bvledger.ProgramKey]int64),
		hasFullHistory: make(map[bvledger.ProgramKey]bool),
		spent:          make(map[bvledger.ProgramKey]int64),
		cachedAt:       make(map[bvledger.ProgramKey]map[string]bool),
		storedTurns:    make(map[string]string),
		drawn:          make(map[string]int64),
	}
	machine.store.onApplied = machine.checkRows
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
	machine.cachedAt[key] = make(map[string]bool)
}

func (machine *machine) startHost() *host {
	machine.lastHost++
	host := newHost(fmt.Sprintf("host-%d", machine.lastHost), machine.store)
	host.alterEffects = machine.alterEffects
	machine.submissions[host] = make(map[bvledger.CallID]*submission)
	return host
}

func (machine *machine) recordFailure(format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	if strings.Contains(message, machine.filter) {
		machine.failures = append(machine.failures, message)
	}
}

// submit sends a request to a host.
func (machine *machine) submit(host *host, request *request) {
	machine.lastCall++
	machine.hasFullHistory[request.key] = machine.hasFullHistory[request.key] || request.isFullHistory
	machine.submissions[host][machine.lastCall] = &submission{request: request, turn: request.turn}
	host.ledger.Submit(machine.now, bvledger.Call{
		ID: machine.lastCall, Key: request.key, Parent: machine.parents[request.key],
		Request: request.name, Turn: request.turn, Digest: request.name,
		Unrepeatable: request.unrepeatable, Resent: request.repeats > 0, Messages: machine.messages(request), FullHistory: request.isFullHistory, Cost: modelCost,
		Limits: bvledger.Limits{Budget: machine.budgets[request.key], Idle: modelIdle},
	})
	request.repeats++
}

// messages returns the request's messages: its own, and for a full history also all
// earlier ones that the caller knows.
func (machine *machine) messages(request *request) []byte {
	var messages []string
	for _, earlier := range machine.requests[request.key] {
		if request.isFullHistory && earlier.answer != "" && earlier != request && earlier.turn < request.turn {
			messages = append(messages, messageText(request.key, earlier.name), earlier.answer)
		}
	}
	encoded, _ := json.Marshal(append(messages, messageText(request.key, request.name)))
	return encoded
}

func (machine *machine) fetch(host *host, request *request) {
	machine.lastCall++
	machine.submissions[host][machine.lastCall] = &submission{request: request}
	host.ledger.Fetch(machine.now, machine.lastCall, request.key, request.name)
}

// messageText returns a message that contains the program that it belongs to.
func messageText(key bvledger.ProgramKey, content string) string {
	return key.Member + "/" + key.Program + ":" + content
}

// newRequest creates the next request of the program's caller, which continues after it
// has received an answer or abandoned its last request.
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

// send sends a started call to an endpoint if MayStart still allows it.
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
		machine.recordFailure("request %s of %v ran twice", submission.request.name, submission.request.key)
	}
	machine.cachedAt[submission.request.key][endpoint] = true
	for key := submission.request.key; ; key.Program = machine.parents[key] {
		machine.spent[key] += spent
		if machine.spent[key] > modelBudget {
			machine.recordFailure("%v spent %d of %d", key, machine.spent[key], modelBudget)
		}
		if machine.parents[key] == "" {
			break
		}
	}
	host.ledger.SetEndpoint(machine.now, start.Call, endpoint)
	host.sent = append(host.sent, sentCall{call: start.Call, endpoint: endpoint})
}

// finish reports the result of a call that an endpoint ran.
func (machine *machine) finish(host *host, run sentCall, failed bool) {
	submission := machine.submissions[host][run.call]
	result := bvledger.Result{Endpoint: run.endpoint, Spent: submission.spent}
	if failed {
		result.Spent = 0
		result.Err = bvverdict.New(bvverdict.MayHaveRun, bvverdict.EndpointFailed, "connection lost")
	} else {
		answer := fmt.Sprintf("%s#%d", submission.request.name, run.call)
		result.Answer = []byte(messageText(submission.request.key, answer))
		result.Message, _ = json.Marshal([]string{string(result.Answer)})
	}
	machine.cachedAt[submission.request.key][run.endpoint] = true
	host.ledger.Finish(machine.now, run.call, result)
}

// checkStart checks that a call starts with its own turn and its own program's history.
func (machine *machine) checkStart(submission *submission, start bvledger.Start) {
	request := submission.request
	if submission.turn > 0 && start.Turn != submission.turn {
		machine.recordFailure("%s of %v runs as turn %d, not %d", request.name, request.key, start.Turn, submission.turn)
	}
	var messages []string
	if err := json.Unmarshal(start.History, &messages); err != nil {
		machine.recordFailure("history of %v: %v", request.key, err)
	}
	// A call with the whole history may contain messages of a call that the caller
	// abandoned; its turn then has more messages.
	if len(messages) < 2*(start.Turn-1) || len(messages) > 2*(start.Turn-1) && !machine.hasFullHistory[request.key] {
		machine.recordFailure("history of %v has %d messages before turn %d", request.key, len(messages), start.Turn)
	}
	for _, message := range messages {
		if !strings.HasPrefix(message, messageText(request.key, "")) {
			machine.recordFailure("history of %v holds %q", request.key, message)
		}
	}
}

// step carries out one tick of a host and collects the outcomes of its calls.
func (machine *machine) step(host *host) {
	host.tick(machine.now)
	inbox := host.inbox
	host.inbox = nil
	for _, deliver := range inbox {
		deliver(machine.now)
	}
	machine.collectOutcomes(host)
}

func (machine *machine) collectOutcomes(host *host) {
	calls := make([]bvledger.CallID, 0, len(host.outcomes))
	for call := range host.outcomes {
		calls = append(calls, call)
	}
	slices.Sort(calls)
	for _, call := range calls {
		outcome := host.outcomes[call]
		submission := machine.submissions[host][call]
		if submission == nil || submission.hasOutcome {
			continue
		}
		submission.hasOutcome = true
		if outcome.answer != nil {
			machine.checkAnswer(submission.request, string(outcome.answer.Answer))
			submission.request.turn = max(submission.request.turn, outcome.answer.Turn)
			machine.checkRows()
			continue
		}
		if outcome.refuse.Err.Verdict() == bvverdict.NotRun && submission.request.wasRunBy(call) {
			machine.recordFailure("%s of %v ran and was refused as not run: %v",
				submission.request.name, submission.request.key, outcome.refuse.Err)
		}
	}
	for _, released := range host.released {
		for _, endpoint := range released.Endpoints {
			delete(machine.cachedAt[released.Key], endpoint)
			if endpoint == bvledger.AnyEndpoint {
				clear(machine.cachedAt[released.Key])
			}
			host.ledger.ConfirmRelease(machine.now, released.Key, endpoint)
		}
	}
	host.released = nil
}

// checkAnswer checks that every answer of a request is its own, and always the same.
func (machine *machine) checkAnswer(request *request, answer string) {
	if !strings.HasPrefix(answer, messageText(request.key, request.name+"#")) {
		machine.recordFailure("%s of %v was answered %q", request.name, request.key, answer)
	}
	if request.answer == "" {
		request.answer = answer
	}
	if request.answer != answer {
		machine.recordFailure("%s of %v was answered %q after %q", request.name, request.key, answer, request.answer)
	}
}

// crash replaces a host by a new one without state.
func (machine *machine) crash(index int) {
	old := machine.hosts[index]
	machine.forgetPlacements(old)
	machine.hosts[index] = machine.startHost()
	machine.paused[index] = false
}

// leave stops a host as planned, and replaces it.
func (machine *machine) leave(index int) {
	host := machine.hosts[index]
	host.ledger.Leave(machine.now)
	for range 5 {
		machine.finishAll(host)
	}
	machine.crash(index)
}

// forgetPlacements removes from the oracle the placements that only the crashed host
// knew: the endpoint of a call that still ran while another host took over the program
// and ended it. This gap is stated in docs/design/program-state.md.
func (machine *machine) forgetPlacements(host *host) {
	for _, submission := range machine.submissions[host] {
		key := submission.request.key
		if submission.endpoint != "" && machine.headOf(key).State.IsEnded() {
			delete(machine.cachedAt[key], submission.endpoint)
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

// checkRows checks that turns are only added and never changed, that answers which
// callers received are stored, and that draws stay within the budget.
func (machine *machine) checkRows() {
	for _, key := range machine.programs {
		rows, _ := machine.store.Scan(context.Background(), bvledger.TurnPrefix(key), "", 1000)
		found := make(map[string]string, len(rows))
		for _, row := range rows {
			found[row.Key] = string(row.Value)
		}
		for name, value := range machine.storedTurns {
			if strings.HasPrefix(name, bvledger.TurnPrefix(key)) && found[name] != value {
				machine.recordFailure("stored turn %s changed", name)
			}
		}
		for name, value := range found {
			machine.storedTurns[name] = value
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
			machine.recordFailure("answer %q is not stored as turn %d", request.answer, request.turn)
		}
	}
}

func (machine *machine) checkDrawn(key bvledger.ProgramKey) {
	rows, _ := machine.store.Memory.Read(context.Background(), bvledger.AccountKey(key))
	var account struct{ Budget, Drawn int64 }
	_ = json.Unmarshal(rows[0].Value, &account)
	if account.Drawn > machine.drawn[rows[0].Key] && account.Drawn > account.Budget {
		machine.recordFailure("%v drew %d of %d", key, account.Drawn, account.Budget)
	}
	machine.drawn[rows[0].Key] = account.Drawn
}

// recoverAll ends all faults and lets every host finish its calls.
func (machine *machine) recoverAll() {
	machine.clearFaults()
	machine.store.applyDelayed()
	for range 60 {
		machine.now = machine.now.Add(bvclock.Second)
		for _, host := range machine.hosts {
			machine.finishAll(host)
		}
	}
}

// finishAll sends and finishes all calls that a host has started.
func (machine *machine) finishAll(host *host) {
	for range 5 {
		machine.step(host)
		for len(host.started) > 0 {
			machine.send(host, host.takeStarted(), modelCost, "engine-1")
		}
		for len(host.sent) > 0 {
			machine.finish(host, host.takeSent(), false)
		}
	}
	machine.step(host)
}

// checkProgress checks that after all faults have ended, each program that hasn't ended
// either makes another turn or has no budget left for it. A caller continues with the
// next turn if its turn is refused as taken, by a call whose answer it never received,
// and retries if its host finds that it is no longer the owner.
func (machine *machine) checkProgress() {
	for _, key := range machine.programs {
		if machine.headOf(key).State.IsEnded() || machine.parents[key] != "" {
			continue
		}
		outcome := machine.attemptTurn(key)
		for range 2 {
			if outcome.refuse != nil && outcome.refuse.Err.Code() != bvverdict.BudgetExceeded {
				outcome = machine.attemptTurn(key)
			}
		}
		if outcome.answer != nil || outcome.refuse != nil && outcome.refuse.Err.Code() == bvverdict.BudgetExceeded {
			continue
		}
		machine.recordFailure("%v makes no more turns: %+v", key, outcome.refuse)
	}
}

func (machine *machine) attemptTurn(key bvledger.ProgramKey) outcome {
	request := machine.newRequest(key, false)
	request.turn = max(request.turn, machine.headOf(key).Turns+1)
	host := machine.hosts[0]
	machine.submit(host, request)
	call := machine.lastCall
	for range 10 {
		machine.now = machine.now.Add(bvclock.Second)
		machine.finishAll(host)
	}
	return host.outcomes[call]
}

// checkReleased checks that when every program has been idle for its limit, all have
// ended and no endpoint holds any cache.
func (machine *machine) checkReleased() {
	for range 12 {
		machine.now = machine.now.Add(modelIdle)
		for _, host := range machine.hosts {
			rows, _ := machine.store.Scan(context.Background(), bvledger.HeadTable, "", 1000)
			host.ledger.ReclaimScan(machine.now, rows, machine.isLive, modelIdle)
			machine.finishAll(host)
		}
	}
	for _, key := range machine.programs {
		endpoints := make([]string, 0, len(machine.cachedAt[key]))
		for endpoint := range machine.cachedAt[key] {
			endpoints = append(endpoints, endpoint)
		}
		sort.Strings(endpoints)
		if len(endpoints) > 0 {
			machine.recordFailure("%v is still held by %v, its row by %+v; hosts: %s",
				key, endpoints, machine.headOf(key), machine.statuses(key))
		}
	}
}

func (machine *machine) statuses(key bvledger.ProgramKey) string {
	var states []string
	for _, host := range machine.hosts {
		if status, found := host.ledger.Status(key); found {
			states = append(states, fmt.Sprintf("%s %+v", host.name, status))
		}
	}
	return strings.Join(states, ", ")
}

func (machine *machine) isLive(owner string) bool {
	return slices.ContainsFunc(machine.hosts, func(host *host) bool { return host.name == owner })
}

// checkPromises executes one fuzz run on a machine.
func checkPromises(t *rapid.T, machine *machine) {
	index := rapid.IntRange(0, len(machine.hosts)-1)
	programCount := rapid.IntRange(1, len(machine.programs)).Draw(t, "programs")
	program := rapid.SampledFrom(machine.programs[:programCount])
	endpoint := rapid.SampledFrom([]string{"engine-1", "engine-2", "engine-3"})
	drawHost := func(t *rapid.T, accept func(*host) bool) *host {
		var hosts []*host
		for i, host := range machine.hosts {
			if !machine.paused[i] && accept(host) {
				hosts = append(hosts, host)
			}
		}
		if len(hosts) == 0 {
			t.Skip("no such host")
		}
		return rapid.SampledFrom(hosts).Draw(t, "host")
	}
	anyHost := func(*host) bool { return true }
	actions := map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			request := machine.newRequest(program.Draw(t, "program"), rapid.Bool().Draw(t, "unrepeatable"))
			request.isFullHistory = rapid.IntRange(0, 4).Draw(t, "full") == 4
			if rapid.IntRange(0, 4).Draw(t, "next") == 4 {
				request.turn = 0
			}
			machine.submit(drawHost(t, anyHost), request)
		},
		"repeat": func(t *rapid.T) {
			requests := machine.requests[program.Draw(t, "program")]
			if len(requests) == 0 {
				t.Skip("no request")
			}
			machine.submit(drawHost(t, anyHost), rapid.SampledFrom(requests).Draw(t, "request"))
		},
		"fetch": func(t *rapid.T) {
			requests := machine.requests[program.Draw(t, "program")]
			if len(requests) == 0 {
				t.Skip("no request")
			}
			machine.fetch(drawHost(t, anyHost), rapid.SampledFrom(requests).Draw(t, "request"))
		},
		"abandon": func(t *rapid.T) {
			call := bvledger.CallID(rapid.Uint64Range(1, uint64(machine.lastCall)+1).Draw(t, "call"))
			drawHost(t, anyHost).ledger.Abandon(machine.now, call)
		},
		"work": func(t *rapid.T) { machine.finishAll(drawHost(t, anyHost)) },
		"send": func(t *rapid.T) {
			host := drawHost(t, func(host *host) bool { return len(host.started) > 0 })
			spent := rapid.Int64Range(1, modelCost).Draw(t, "spent")
			machine.send(host, host.takeStarted(), spent, endpoint.Draw(t, "endpoint"))
		},
		"finish": func(t *rapid.T) {
			host := drawHost(t, func(host *host) bool { return len(host.sent) > 0 })
			machine.finish(host, host.takeSent(), rapid.IntRange(0, 3).Draw(t, "failed") == 3)
		},
		"wait": func(t *rapid.T) {
			machine.now = machine.now.Add(bvclock.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")))
		},
		"host": func(t *rapid.T) { machine.injectHostFault(t, index.Draw(t, "host")) },
		"platform": func(t *rapid.T) {
			machine.injectPlatformFault(rapid.SampledFrom([]string{"lose", "delay", "land", "down"}).Draw(t, "platform"))
		},
		"heal": func(*rapid.T) { machine.clearFaults() },
		"operator": func(t *rapid.T) {
			key := program.Draw(t, "program")
			machine.budgets[key] = rapid.Int64Range(modelCost, modelBudget).Draw(t, "budget")
			limits := bvledger.Limits{Budget: machine.budgets[key], Idle: modelIdle}
			drawHost(t, anyHost).ledger.SetLimits(machine.now, key, limits)
		},
		"rare": func(t *rapid.T) {
			if rapid.IntRange(0, 2).Draw(t, "end") < 2 {
				machine.now = machine.now.Add(bvclock.Minute)
				return
			}
			machine.lastCall++
			drawHost(t, anyHost).ledger.End(machine.now, program.Draw(t, "program"), machine.lastCall)
		},
	}
	for _, name := range []string{"submit", "send", "finish", "repeat", "heal"} {
		actions[name+"2"] = actions[name] // actions that make progress are drawn more often
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
	machine.recoverAll()
	machine.checkProgress()
	machine.checkReleased()
	machine.failIfBroken(t)
}

func (machine *machine) injectHostFault(t *rapid.T, index int) {
	switch rapid.SampledFrom([]string{"pause", "resume", "crash", "leave"}).Draw(t, "fault") {
	case "pause":
		machine.paused[index] = true
	case "resume":
		machine.paused[index] = false
	case "crash":
		machine.crash(index)
	case "leave":
		machine.leave(index)
	}
}

func (machine *machine) injectPlatformFault(fault string) {
	switch fault {
	case "lose":
		machine.store.loseNext++
	case "delay":
		machine.store.delayNext++
	case "land":
		machine.store.applyDelayed()
	case "down":
		machine.store.down = true
	}
}

// clearFaults ends all faults except crashes.
func (machine *machine) clearFaults() {
	machine.store.down = false
	machine.store.loseNext = 0
	machine.store.delayNext = 0
	clear(machine.paused)
}

func (machine *machine) failIfBroken(t *rapid.T) {
	if len(machine.failures) > 0 {
		t.Fatalf("%s", strings.Join(machine.failures, "\n"))
	}
}

func (machine *machine) stepAll() {
	for i, host := range machine.hosts {
		if !machine.paused[i] {
			machine.step(host)
		}
	}
}

// setSeed fixes the runs that CI explores; a run with -rapid.seed explores others.
func setSeed(t *testing.T, value string) {
	t.Helper()
	for name, fixed := range map[string]string{"rapid.seed": value, "rapid.steps": "100", "rapid.nofailfile": "true"} {
		current := flag.Lookup(name)
		if current.Value.String() != current.DefValue {
			continue
		}
		setFlag(t, name, fixed)
	}
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	before := flag.Lookup(name).Value.String()
	require.NoError(t, flag.Set(name, value))
	t.Cleanup(func() { _ = flag.Set(name, before) })
}

// setRuns sets the number of runs, unless the command line sets it.
func setRuns(t *testing.T, runs string) {
	t.Helper()
	current := flag.Lookup("rapid.checks")
	if current.Value.String() == current.DefValue {
		setFlag(t, "rapid.checks", runs)
	}
}

// Guards against promises that don't hold under crashes, pauses, outages and late writes.
func TestPromisesHoldUnderFaults(t *testing.T) {
	setSeed(t, "4")
	setRuns(t, "1000")
	steps, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		machine := newMachine()
		checkPromises(t, machine)
		steps += machine.steps
		runs++
	})
	t.Logf("%d actions in %d runs, each checked by every oracle", steps, runs)
}

// recorder stands in for a *testing.T whose failure is expected.
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

// requireDetected runs the fuzz test on machines with a deliberate fault and requires
// that the oracle for it fails with the given message.
func requireDetected(t *testing.T, message string, alter func(*machine)) {
	t.Helper()
	setSeed(t, "4")
	setFlag(t, "rapid.shrinktime", "0s")
	setFlag(t, "rapid.checks", "3000")
	recorder := &recorder{T: t}
	rapid.Check(recorder, func(t *rapid.T) {
		machine := newMachine()
		alter(machine)
		machine.filter = message
		checkPromises(t, machine)
	})
	require.True(t, recorder.failed, "no oracle detected the fault")
	require.Contains(t, strings.Join(recorder.log, "\n"), message)
}

// onEveryHost alters the effects of all hosts, including those that start later.
func onEveryHost(alter func([]bvledger.Effect) []bvledger.Effect) func(*machine) {
	return func(machine *machine) {
		machine.alterEffects = alter
		for _, host := range machine.hosts {
			host.alterEffects = alter
		}
	}
}

func TestHistoryOracleCatchesTwoOwnersThatBothWrite(t *testing.T) {
	requireDetected(t, "changed", func(machine *machine) { machine.store.ignore = bvledger.HeadTable })
}

func TestBudgetOracleCatchesUncheckedDraws(t *testing.T) {
	requireDetected(t, "spent", func(machine *machine) { machine.store.ignore = bvledger.AccountTable })
}

func TestOnceOracleCatchesUncheckedRecords(t *testing.T) {
	requireDetected(t, "ran twice", func(machine *machine) {
		machine.store.ignore = bvledger.OnceTable
		machine.store.hide = bvledger.OnceTable
	})
}

func TestOrderOracleCatchesAWrongTurn(t *testing.T) {
	requireDetected(t, "runs as turn", onEveryHost(func(effects []bvledger.Effect) []bvledger.Effect {
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
	requireDetected(t, "holds", onEveryHost(func(effects []bvledger.Effect) []bvledger.Effect {
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
	requireDetected(t, "was answered", onEveryHost(func(effects []bvledger.Effect) []bvledger.Effect {
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
	requireDetected(t, "is not stored", onEveryHost(func(effects []bvledger.Effect) []bvledger.Effect {
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
	requireDetected(t, "refused as not run", onEveryHost(func(effects []bvledger.Effect) []bvledger.Effect {
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
	requireDetected(t, "still held", onEveryHost(func(effects []bvledger.Effect) []bvledger.Effect {
		return slices.DeleteFunc(effects, func(effect bvledger.Effect) bool {
			_, ok := effect.(bvledger.Release)
			return ok
		})
	}))
}
