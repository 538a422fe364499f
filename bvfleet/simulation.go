package bvfleet

import (
	"fmt"
	"math"
	"math/rand/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

const (
	// callerLatency is the one-way time between a caller and its host, with the host's
	// processing.
	callerLatency = 10 * bvclock.Millisecond
	// callerTimeout is how long a caller waits for a turn to start.
	callerTimeout = 2400 * bvclock.Millisecond
	// A refused caller retries once through any host, after the time in the refusal but at
	// most 1/retryAfterShare of the turn's time. A turn whose attempts
	// all failed is sent twice more, each time after a pause of minRetryPause plus up to
	// retryPauseJitter.
	maxAttempts      = 2
	maxSends         = 3
	retryAfterShare  = 3
	minRetryPause    = 100 * bvclock.Millisecond
	retryPauseJitter = 300 * bvclock.Millisecond
	// drainTime is how long programs may continue after the last one has started.
	drainTime = 10 * bvclock.Second
)

// simulation is a running simulation of a Load.
type simulation struct {
	load    Load
	random  *rand.Rand
	now     bvclock.Time
	hosts   []*host
	engines []*engine
	byHash  map[uint64]*engine
	byName  map[string]*engine

	sharedPrefixes [][]bvroute.Part // by kind
	lastPartKey    uint64
	programs       []*program
	active         []*program                  // that the oracle has admitted
	dueTurns       map[bvclock.Time][]*program // by the time at which the next turn is sent
	callTimeouts   map[bvclock.Time][]*call    // by the time of the caller's timeout
	result         Result
}

// host is the state of a host.
type host struct {
	zone             int
	pool             *bvdispatch.Pool
	running          map[uint64]int // calls by the hash of the engine's ID
	unsentPlacements []bvdispatch.Placement
}

// Simulate simulates a load to its end.
func Simulate(load Load) Result {
	simulation := &simulation{
		load: load, random: rand.New(rand.NewPCG(load.Seed, load.Seed)),
		byHash: make(map[uint64]*engine), byName: make(map[string]*engine),
		dueTurns: make(map[bvclock.Time][]*program), callTimeouts: make(map[bvclock.Time][]*call),
	}
	simulation.build()
	for end := bvclock.Time(load.Duration + drainTime); simulation.now < end; {
		simulation.now++
		simulation.startPrograms()
		simulation.sendTurns()
		simulation.stepEngines()
		simulation.timeOutCalls()
		if simulation.now%bvclock.Time(load.DigestInterval) == 0 {
			simulation.exchangeDigests()
		}
		if load.Workspaces > 0 {
			simulation.exchangeShares()
		}
	}
	return simulation.summarize()
}

func (simulation *simulation) build() {
	listed := make([]bvplatform.Endpoint, simulation.load.Engines)
	for i := range listed {
		zone := i % simulation.load.Zones
		listed[i] = bvplatform.Endpoint{
			Name: fmt.Sprintf("engine-%d", i), Zone: zoneName(zone), Slots: simulation.load.Engine.Slots, CacheTokens: simulation.load.Engine.CacheTokens,
		}
		id := listed[i].ID()
		engine := newEngine(simulation.load.Engine, id, bvdispatch.HashID(id), zone)
		simulation.engines = append(simulation.engines, engine)
		simulation.byHash[engine.hash], simulation.byName[listed[i].Name] = engine, engine
	}
	for i := range simulation.load.Hosts {
		zone := i % simulation.load.Zones
		pool := bvdispatch.NewPool(simulation.load.Seed<<32+uint64(i), zoneName(zone))
		pool.Disable(simulation.load.Disabled)
		pool.SetEndpoints(listed)
		simulation.hosts = append(simulation.hosts, &host{zone: zone, pool: pool, running: make(map[uint64]int)})
	}
	for _, kind := range simulation.load.Kinds {
		parts := make([]bvroute.Part, kind.SharedPrefixes)
		for i := range parts {
			parts[i] = simulation.newPart(kind.PrefixSize)
		}
		simulation.sharedPrefixes = append(simulation.sharedPrefixes, parts)
	}
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// startPrograms starts the programs of this millisecond.
func (simulation *simulation) startPrograms() {
	if bvclock.Duration(simulation.now) > simulation.load.Duration {
		return
	}
	for i, kind := range simulation.load.Kinds {
		rate := kind.Rate
		for _, surge := range simulation.load.Surges {
			rate *= surge.rateFactor(simulation.now, i)
		}
		for range simulation.drawStarts(rate) {
			started := simulation.drawProgram(i)
			started.workspace = simulation.drawWorkspace(kind.Rate / rate)
			simulation.programs = append(simulation.programs, started)
			simulation.scheduleTurn(started, callerLatency)
		}
	}
}

// drawStarts draws how many programs start in a millisecond, at a rate per second. Below a
// thousand per second it is at most one: two are rare.
func (simulation *simulation) drawStarts(rate float64) int {
	whole, rest := math.Modf(rate / float64(bvclock.Second))
	if simulation.random.Float64() < rest {
		whole++
	}
	return int(whole)
}

// drawWorkspace draws the workspace of a program; usual is the fraction of programs
// that would start without the surge.
func (simulation *simulation) drawWorkspace(usual float64) string {
	switch {
	case simulation.load.Workspaces == 0:
		return ""
	case simulation.load.SingleWorkspaceSurge && simulation.random.Float64() >= usual:
		return workspaceName(0)
	}
	return workspaceName(simulation.random.IntN(simulation.load.Workspaces))
}

func workspaceName(number int) string { return fmt.Sprintf("workspace-%d", number) }

func (simulation *simulation) scheduleTurn(program *program, pause bvclock.Duration) {
	at := simulation.now.Add(max(pause, bvclock.Millisecond))
	simulation.dueTurns[at] = append(simulation.dueTurns[at], program)
}

func (simulation *simulation) sendTurns() {
	for _, program := range simulation.dueTurns[simulation.now] {
		simulation.sendTurn(program)
	}
	delete(simulation.dueTurns, simulation.now)
}

// sendTurn sends a program's next turn, or refuses it.
func (simulation *simulation) sendTurn(program *program) {
	host := simulation.hosts[program.host]
	if program.turnIndex == 0 {
		if retryAfter, admitted := simulation.admit(host, program); !admitted {
			simulation.result.Refusals++
			program.refused = true
			simulation.scheduleRetry(program, retryAfter)
			return
		}
		program.refused = false
	}
	request := &bvdispatch.Request{Prefix: program.prefix, PromptTokens: program.promptTokens, Workspace: program.workspace}
	if simulation.load.Trackers && program.turnIndex > 0 {
		request.HeldPrefix = program.heldPrefix
	}
	if simulation.load.Trackers && host.pool.NeedsPeerCalls(simulation.now) {
		request.PeerCalls = simulation.trackerCounts(host, host.pool.Shortlist(simulation.now, request))
	}
	chosen, found := host.pool.Choose(simulation.now, request)
	if !found {
		simulation.scheduleRetry(program, 0)
		return
	}
	simulation.startCall(program, request, simulation.byName[chosen.Name])
}

// trackerCounts returns the calls of other hosts that the engines' trackers report to a
// host.
func (simulation *simulation) trackerCounts(host *host, engines []uint64) map[uint64]int {
	counts := make(map[uint64]int, len(engines))
	for _, hash := range engines {
		counts[hash] = simulation.byHash[hash].calls() - host.running[hash]
	}
	return counts
}

func (simulation *simulation) startCall(program *program, request *bvdispatch.Request, engine *engine) {
	host := simulation.hosts[program.host]
	for _, part := range host.pool.BeginCall(simulation.now, engine.id, request) {
		host.unsentPlacements = append(host.unsentPlacements, bvdispatch.Placement{Endpoint: engine.hash, Part: part})
	}
	host.running[engine.hash]++
	simulation.result.SentTurns++
	if engine.calls() >= engine.spec.Slots {
		simulation.result.WaitedTurns++
	}
	call := &call{
		program: program, request: request, host: program.host, engine: engine, sentAt: simulation.now,
		urgency: simulation.urgency(host, program), output: program.turns[program.turnIndex].output,
	}
	call.outputLeft = call.output
	engine.submit(call)
	at := simulation.now.Add(simulation.turnTimeout())
	simulation.callTimeouts[at] = append(simulation.callTimeouts[at], call)
}

func (simulation *simulation) turnTimeout() bvclock.Duration {
	if simulation.load.TurnTimeout > 0 {
		return simulation.load.TurnTimeout
	}
	return callerTimeout
}

func (simulation *simulation) stepEngines() {
	for number, engine := range simulation.engines {
		engine.factor = simulation.load.factor(simulation.now, number) * simulation.load.slowdown(simulation.now, number)
		generating, ended := engine.step()
		for _, call := range generating {
			simulation.reportLoad(call)
		}
		for _, call := range ended {
			simulation.finishTurn(call)
		}
	}
}

// finishTurn records a turn's end and schedules the next turn.
func (simulation *simulation) finishTurn(call *call) {
	program := call.program
	program.heldPrefix = bvdispatch.HeldPrefix{Endpoint: call.engine.hash, Tokens: program.promptTokens}
	simulation.endCall(call, bvdispatch.Served)
	simulation.hosts[call.host].pool.RecordOutputWork(simulation.now, call.engine.id, call.request, bvdispatch.Result{OutputTokens: int(program.turns[program.turnIndex].output)})
	simulation.recordTurn(call)
	program.attempts, program.sends = 0, 0
	pause := program.turns[program.turnIndex].pause
	program.turnIndex++
	if program.turnIndex == len(program.turns) {
		program.endedAt = simulation.now.Add(callerLatency)
		return
	}
	program.extend(program.turns[program.turnIndex].input)
	if simulation.random.Float64() < simulation.load.HostChangeShare {
		program.host = simulation.random.IntN(simulation.load.Hosts)
	}
	simulation.scheduleTurn(program, pause+2*callerLatency)
}

func (simulation *simulation) endCall(call *call, outcome bvdispatch.Outcome) {
	host := simulation.hosts[call.host]
	result := bvdispatch.Result{Outcome: outcome, Duration: simulation.now.Sub(call.sentAt), AnswerStarted: call.started}
	simulation.addPace(call, &result)
	host.pool.EndCall(simulation.now, call.engine.id, result)
	if host.running[call.engine.hash]--; host.running[call.engine.hash] == 0 {
		delete(host.running, call.engine.hash)
	}
	call.ended = true
}

// timeOutCalls ends the calls that have not started within callerTimeout.
func (simulation *simulation) timeOutCalls() {
	for _, call := range simulation.callTimeouts[simulation.now] {
		if call.started || call.ended {
			continue
		}
		call.engine.cancel(call)
		simulation.endCall(call, bvdispatch.Withdrawn)
		simulation.result.TimedOutTurns++
		call.program.attempts = maxAttempts
		simulation.scheduleRetry(call.program, 0)
	}
	delete(simulation.callTimeouts, simulation.now)
}

// scheduleRetry schedules the next attempt of a caller that was refused or timed out, or
// marks its program as failed.
func (simulation *simulation) scheduleRetry(program *program, retryAfter bvclock.Duration) {
	program.host = simulation.random.IntN(simulation.load.Hosts)
	if program.attempts++; program.attempts < maxAttempts {
		simulation.scheduleTurn(program, min(retryAfter, simulation.turnTimeout()/retryAfterShare))
		return
	}
	program.attempts = 0
	if program.sends++; program.sends >= maxSends {
		program.failed = true
		return
	}
	simulation.scheduleTurn(program, minRetryPause+bvclock.Duration(simulation.random.Int64N(int64(retryPauseJitter))))
}
