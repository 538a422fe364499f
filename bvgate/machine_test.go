package bvgate

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// TestMain fixes the seed, so that each run has the same result; use -rapid.seed to
// test other seeds.
func TestMain(m *testing.M) {
	flag.Parse()
	setUnlessGiven("rapid.seed", "20261")
	setUnlessGiven("rapid.checks", "150")
	machineChecks = flag.Lookup("rapid.checks").Value.String()
	setUnlessGiven("rapid.steps", "120")
	os.Exit(m.Run())
}

var machineChecks string

func setUnlessGiven(name, value string) {
	given := false
	flag.Visit(func(set *flag.Flag) { given = given || set.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

// decider is what the machine drives: a Pool or a faultyPool.
type decider interface {
	SetMembers(shares []MemberShare)
	UpdateEndpoint(now bvclock.Time, report EndpointReport)
	RemoveEndpoint(now bvclock.Time, name string)
	Submit(now bvclock.Time, submitted Request)
	Withdraw(now bvclock.Time, id RequestID)
	MarkUsed(now bvclock.Time, id RequestID) bool
	Finish(now bvclock.Time, finish Finish)
	Adopt(now bvclock.Time, running Request, endpoint string)
	EndProgram(now bvclock.Time, member, program string)
	ConfirmRelease(now bvclock.Time, endpoint, member, program string)
	AddSuspects(now bvclock.Time, suspects []Suspect)
	Tick(now bvclock.Time) []Effect
	NextTick() bvclock.Time
}

// flight is the machine's record of a granted call.
type flight struct {
	Request
	endpoint     string
	incarnation  string
	expires      bvclock.Time
	isolated     bool
	crashCounted bool
}

type cachedProgram struct{ endpoint, incarnation, member, program string }

// machine holds the state of the oracles: plain maps of requests, grants and reports.
type machine struct {
	pool     decider
	now      bvclock.Time
	draw     func(label string, n int) int
	violated string
	only     string // text of the only oracle whose violations count; empty for all

	reports      map[string]EndpointReport // the last report of each endpoint
	listed       map[string]bool
	incarnations int
	submitted    map[RequestID]Request
	answers      map[RequestID]int // grants, refusals and withdrawals
	lastID       RequestID
	flights      map[RequestID]*flight
	lapsed       map[RequestID]*flight
	grants       map[RequestID]int // of unrepeatable requests
	crashes      map[suspectKey]int
	ended        map[string]bool
	cached       map[cachedProgram]bool // programs cached by endpoints
	releases     []Release
	zones        bool
}

func newMachine(pool decider, zones bool) *machine {
	machine := &machine{
		pool: pool, zones: zones,
		reports: map[string]EndpointReport{}, listed: map[string]bool{}, submitted: map[RequestID]Request{}, answers: map[RequestID]int{},
		flights: map[RequestID]*flight{}, lapsed: map[RequestID]*flight{}, grants: map[RequestID]int{},
		crashes: map[suspectKey]int{}, ended: map[string]bool{}, cached: map[cachedProgram]bool{},
	}
	pool.SetMembers([]MemberShare{{Member: "a", Weight: 2}, {Member: "b", Weight: 1, Concurrency: 5}, {Member: "c", Weight: 1, Rate: 3}})
	return machine
}

func (machine *machine) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if machine.violated == "" && strings.Contains(text, machine.only) {
		machine.violated = fmt.Sprintf("at %d: %s", machine.now, text)
	}
}

func sortedKeys[V any](of map[RequestID]V) []RequestID {
	keys := make([]RequestID, 0, len(of))
	for key := range of {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (machine *machine) pickEndpoint() string {
	return []string{"e1", "e2", "e3", "e4"}[machine.draw("endpoint", 4)]
}

func (machine *machine) pickFlight() *flight {
	if len(machine.flights) == 0 {
		return nil
	}
	keys := sortedKeys(machine.flights)
	return machine.flights[keys[machine.draw("flight", len(keys))]]
}

func (machine *machine) report() {
	name := machine.pickEndpoint()
	report, known := machine.reports[name]
	if !known || machine.draw("reboot", 4) == 0 {
		machine.incarnations++
		report = EndpointReport{Name: name, Incarnation: fmt.Sprint(machine.incarnations), CacheTokens: 3000 * machine.draw("cache", 3)}
	}
	report.Slots = 1 + machine.draw("slots", 4)
	report.Running = machine.draw("running", 6)
	report.Leaving = machine.draw("leaving", 5) == 0
	if machine.zones {
		report.Zone = "z"
	}
	machine.sendReport(report)
}

func (machine *machine) sendReport(report EndpointReport) {
	for prefix := range machine.cached {
		if prefix.endpoint == report.Name && prefix.incarnation != report.Incarnation {
			delete(machine.cached, prefix)
		}
	}
	if !machine.listed[report.Name] && machine.reports[report.Name].Incarnation == "" {
		machine.assignIncarnation(report)
	}
	machine.reports[report.Name] = report
	machine.listed[report.Name] = true
	machine.pool.UpdateEndpoint(machine.now, report)
}

// assignIncarnation sets the incarnation of calls that were adopted before the endpoint
// was listed.
func (machine *machine) assignIncarnation(report EndpointReport) {
	for _, flight := range machine.flights {
		if flight.endpoint == report.Name && flight.incarnation == "" {
			flight.incarnation = report.Incarnation
		}
	}
}

func (machine *machine) remove() {
	name := machine.pickEndpoint()
	delete(machine.listed, name)
	machine.pool.RemoveEndpoint(machine.now, name)
}

func (machine *machine) newRequest() Request {
	machine.lastID++
	member := []string{"a", "b", "c"}[machine.draw("member", 3)]
	program := fmt.Sprint("p", machine.draw("program", 12))
	request := Request{
		ID: machine.lastID, Member: member, Program: program,
		Priority: machine.draw("priority", 2), AttainedService: Work(1000 * machine.draw("attained", 3)),
		PromptTokens: 100 * machine.draw("prompt", 30), OutputTokens: 1 + machine.draw("output", 50),
		Fingerprint: uint64(machine.draw("fingerprint", 25)), Unrepeatable: machine.draw("unrepeatable", 3) == 0,
	}
	if machine.draw("deadline", 4) == 0 {
		request.Deadline = machine.now.Add(bvclock.Duration(machine.draw("time", 20_000)))
	}
	delete(machine.ended, member+"/"+program)
	return request
}

func (machine *machine) submit() {
	request := machine.newRequest()
	machine.submitted[request.ID] = request
	machine.pool.Submit(machine.now, request)
}

// resubmit repeats the Submit of a request whose call has ended, as a retrying caller
// does.
func (machine *machine) resubmit() {
	keys := sortedKeys(machine.answers)
	if len(keys) == 0 {
		return
	}
	id := keys[machine.draw("again", len(keys))]
	if machine.flights[id] != nil || machine.answers[id] == 0 {
		return
	}
	machine.answers[id] = 0
	delete(machine.lapsed, id)
	delete(machine.ended, machine.submitted[id].Member+"/"+machine.submitted[id].Program)
	machine.pool.Submit(machine.now, machine.submitted[id])
}

func (machine *machine) withdraw() {
	if machine.lastID == 0 {
		return
	}
	id := RequestID(machine.draw("withdrawn", int(machine.lastID))) + 1
	if _, ok := machine.submitted[id]; ok && machine.answers[id] == 0 {
		machine.answers[id]++
	}
	machine.pool.Withdraw(machine.now, id)
}

func (machine *machine) adopt() {
	request := machine.newRequest()
	machine.submitted[request.ID] = request
	machine.answers[request.ID] = 1
	name := machine.pickEndpoint()
	machine.pool.Adopt(machine.now, request, name)
	machine.flights[request.ID] = &flight{Request: request, endpoint: name, incarnation: machine.reports[name].Incarnation}
	machine.grants[request.ID]++
}

func (machine *machine) markUsed() {
	if used := machine.pickFlight(); used != nil {
		used.expires = 0
		machine.pool.MarkUsed(machine.now, used.ID)
	}
}

func (machine *machine) markUsedLate() {
	keys := sortedKeys(machine.lapsed)
	if len(keys) == 0 {
		return
	}
	id := keys[machine.draw("late", len(keys))]
	late := machine.lapsed[id]
	delete(machine.lapsed, id)
	late.expires = 0
	machine.flights[id] = late
	machine.pool.MarkUsed(machine.now, id)
}

func (machine *machine) finish() {
	if ended := machine.pickFlight(); ended != nil {
		machine.finishAs(ended, Outcome(machine.draw("outcome", 6)), machine.draw("over", 4) == 0)
	}
}

func (machine *machine) finishAs(ended *flight, outcome Outcome, programEnded bool) {
	delete(machine.flights, ended.ID)
	finish := Finish{ID: ended.ID, Outcome: outcome, PromptTokens: ended.PromptTokens, OutputTokens: ended.OutputTokens}
	if programEnded {
		finish.Pause = -1
		machine.ended[ended.Member+"/"+ended.Program] = true
	}
	prefix := cachedProgram{ended.endpoint, ended.incarnation, ended.Member, ended.Program}
	switch outcome {
	case Crashed:
		machine.countCrash(ended)
	case Succeeded:
		if ended.isolated {
			delete(machine.crashes, suspectKeyOf(&ended.Request))
		}
		machine.cached[prefix] = machine.reports[ended.endpoint].Incarnation == ended.incarnation
	}
	if !machine.cached[prefix] {
		delete(machine.cached, prefix)
	}
	machine.pool.Finish(machine.now, finish)
}

// countCrash is the oracle's rule: the first report of a crash counts against all calls
// in flight.
func (machine *machine) countCrash(crashed *flight) {
	if crashed.crashCounted {
		return
	}
	flights := []*flight{crashed}
	for _, id := range sortedKeys(machine.flights) {
		if other := machine.flights[id]; other.endpoint == crashed.endpoint && other.incarnation == crashed.incarnation {
			flights = append(flights, other)
		}
	}
	for _, flight := range flights {
		flight.crashCounted = true
		if flight.Fingerprint != 0 {
			machine.crashes[suspectKeyOf(&flight.Request)]++
		}
	}
}

// crash fails the calls on an endpoint and restarts it. The new report precedes or
// follows the failures.
func (machine *machine) crash() {
	name := machine.pickEndpoint()
	report := machine.reports[name]
	if !machine.listed[name] {
		return
	}
	machine.incarnations++
	report.Incarnation = fmt.Sprint(machine.incarnations)
	reportFirst := machine.draw("report first", 2) == 0
	if reportFirst {
		machine.sendReport(report)
	}
	for _, id := range sortedKeys(machine.flights) {
		lost := machine.flights[id]
		if lost.endpoint == name && lost.incarnation != report.Incarnation && machine.draw("reported", 3) > 0 {
			machine.finishAs(lost, Crashed, false)
		}
	}
	if !reportFirst {
		machine.sendReport(report)
	}
}

func (machine *machine) endProgram() {
	member, program := []string{"a", "b", "c"}[machine.draw("member", 3)], fmt.Sprint("p", machine.draw("program", 12))
	machine.ended[member+"/"+program] = true
	machine.pool.EndProgram(machine.now, member, program)
}

func (machine *machine) confirmOne() {
	if len(machine.releases) == 0 {
		return
	}
	at := machine.draw("release", len(machine.releases))
	machine.confirmRelease(machine.releases[at])
	machine.releases = slices.Delete(machine.releases, at, at+1)
}

func (machine *machine) confirmRelease(done Release) {
	report := machine.reports[done.Endpoint]
	if !machine.listed[done.Endpoint] {
		return
	}
	delete(machine.cached, cachedProgram{done.Endpoint, report.Incarnation, done.Member, done.Program})
	machine.pool.ConfirmRelease(machine.now, done.Endpoint, done.Member, done.Program)
}

func (machine *machine) addSuspect() {
	key := suspectKey{member: "a", fingerprint: uint64(1 + machine.draw("fingerprint", 24))}
	machine.crashes[key] = max(machine.crashes[key], 1)
	machine.pool.AddSuspects(machine.now, []Suspect{{Member: "a", Fingerprint: key.fingerprint, Crashes: 1, ExpiresIn: bvclock.Hour}})
}

func (machine *machine) wait() {
	machine.now = machine.now.Add(bvclock.Duration(machine.draw("wait", 1500)))
	machine.tick()
}

func (machine *machine) tick() {
	for _, id := range sortedKeys(machine.flights) {
		if flight := machine.flights[id]; flight.expires != 0 && !flight.expires.After(machine.now) {
			delete(machine.flights, id)
			machine.lapsed[id] = flight
		}
	}
	for _, effect := range machine.pool.Tick(machine.now) {
		switch effect := effect.(type) {
		case Grant:
			machine.checkGrant(effect)
		case Refusal:
			machine.checkRefusal(effect)
		case Release:
			machine.releases = append(machine.releases, effect)
		}
	}
}

func (machine *machine) countAnswer(id RequestID) {
	machine.answers[id]++
	if _, ok := machine.submitted[id]; !ok || machine.answers[id] > 1 {
		machine.violate("request %d was answered %d times", id, machine.answers[id])
	}
}

func (machine *machine) checkRefusal(refusal Refusal) {
	machine.countAnswer(refusal.Request)
	if refusal.Err.Verdict() == bvverdict.NotRun && machine.grants[refusal.Request] > 0 && machine.submitted[refusal.Request].Unrepeatable {
		machine.violate("request %d was granted and is refused as not run", refusal.Request)
	}
}

func (machine *machine) checkGrant(grant Grant) {
	machine.countAnswer(grant.Request)
	request := machine.submitted[grant.Request]
	report := machine.reports[grant.Endpoint]
	if !machine.listed[grant.Endpoint] || report.Leaving {
		machine.violate("request %d was granted to %s, which is leaving or gone", grant.Request, grant.Endpoint)
	}
	machine.grants[request.ID]++
	if request.Unrepeatable && machine.grants[request.ID] > 1 {
		machine.violate("unrepeatable request %d was granted twice", request.ID)
	}
	beside, sibling := 0, false
	for _, other := range machine.flights {
		if other.endpoint == grant.Endpoint && other.incarnation == report.Incarnation {
			beside++
			if other.isolated || grant.Isolated {
				machine.violate("request %d runs beside suspect on %s", request.ID, grant.Endpoint)
			}
		}
		sibling = sibling || suspectKeyOf(&other.Request) == suspectKeyOf(&request)
	}
	if beside >= report.Slots {
		machine.violate("%s has %d slots and is granted call %d", grant.Endpoint, report.Slots, beside+1)
	}
	machine.checkSuspectGrant(grant, request, sibling)
	machine.flights[request.ID] = &flight{
		Request: request, endpoint: grant.Endpoint, incarnation: report.Incarnation, expires: grant.Expires, isolated: grant.Isolated,
	}
}

func (machine *machine) checkSuspectGrant(grant Grant, request Request, sibling bool) {
	crashes := machine.crashes[suspectKeyOf(&request)]
	if request.Fingerprint == 0 || crashes == 0 {
		return
	}
	if sibling && (grant.Isolated || !machine.zones) {
		machine.violate("suspect %d runs twice at once", request.ID)
	}
	if machine.zones {
		return // a zone failure withdraws suspicions, which suspect_test.go covers
	}
	if !grant.Isolated {
		machine.violate("suspect %d is not granted alone", request.ID)
	}
	if crashes >= poisonousCrashes {
		machine.violate("poisonous request %d is granted", request.ID)
	}
}

// settle ends all faults and runs until no work is left.
func (machine *machine) settle() {
	machine.draw = func(string, int) int { return 0 }
	machine.incarnations++
	machine.sendReport(EndpointReport{Name: "healthy", Incarnation: fmt.Sprint(machine.incarnations), Slots: 4})
	for name, report := range machine.reports {
		report.Leaving = false
		machine.reports[name] = report
	}
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		if machine.listed[name] {
			machine.sendReport(machine.reports[name])
		}
	}
	for range 3000 {
		machine.tick()
		busy := len(machine.flights)+len(machine.releases) > 0
		for _, id := range sortedKeys(machine.flights) {
			machine.finishAs(machine.flights[id], Succeeded, false)
		}
		for _, done := range machine.releases {
			machine.confirmRelease(done)
		}
		machine.releases = nil
		next := machine.pool.NextTick()
		if busy {
			continue
		}
		if next == 0 || next.After(machine.now.Add(2*bvclock.Minute)) {
			break
		}
		machine.now = max(machine.now+1, next)
	}
	for id := range machine.submitted {
		if machine.answers[id] == 0 {
			machine.violate("request %d was never answered", id)
		}
	}
	for prefix := range machine.cached {
		if machine.listed[prefix.endpoint] && machine.ended[prefix.member+"/"+prefix.program] {
			machine.violate("%s still caches ended program %s of %s", prefix.endpoint, prefix.program, prefix.member)
		}
	}
}

func (machine *machine) actions() map[string]func(*rapid.T) {
	actions := map[string]func(){
		"report": machine.report, "remove": machine.remove, "ask": machine.submit, "ask2": machine.submit, "ask3": machine.submit,
		"askAgain": machine.resubmit, "withdraw": machine.withdraw, "adopt": machine.adopt, "use": machine.markUsed,
		"use2": machine.markUsed, "useLate": machine.markUsedLate, "finish": machine.finish, "finish2": machine.finish,
		"crash": machine.crash, "endProgram": machine.endProgram, "confirm": machine.confirmOne,
		"addSuspect": machine.addSuspect, "tick": machine.tick, "tick2": machine.tick, "wait": machine.wait,
	}
	drawn := make(map[string]func(*rapid.T))
	for name, action := range actions {
		drawn[name] = func(t *rapid.T) {
			machine.draw = func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
			action()
		}
	}
	drawn[""] = func(t *rapid.T) {
		if machine.violated != "" {
			t.Fatal(machine.violated)
		}
	}
	return drawn
}

// checkInvariants runs the machine over a pool or a faultyPool, with all oracles or
// one.
func checkInvariants(only string, broken func(pool *Pool) decider) func(*rapid.T) {
	return func(t *rapid.T) {
		machine := newMachine(broken(&Pool{}), rapid.Bool().Draw(t, "zones"))
		machine.only = only
		t.Repeat(machine.actions())
		machine.settle()
		if machine.violated != "" {
			t.Fatal(machine.violated)
		}
	}
}

func TestPoolKeepsItsInvariantsUnderFailures(t *testing.T) {
	rapid.Check(t, checkInvariants("", func(pool *Pool) decider { return pool }))
}
