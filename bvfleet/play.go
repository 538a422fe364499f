package bvfleet

import (
	"fmt"
	"math/rand/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

const (
	// way is the time between a caller and its host, with the host's work.
	way = 10 * bvclock.Millisecond
	// callerTimeout is how long a caller waits for a turn to start.
	callerTimeout = 2400 * bvclock.Millisecond
	// A caller that is refused comes back once; a turn that failed is sent again twice,
	// after leastPause to leastPause and morePause.
	mostTries  = 2
	mostSends  = 3
	leastPause = 100 * bvclock.Millisecond
	morePause  = 300 * bvclock.Millisecond
	// lateEnd is how long programs may go on after the last has begun.
	lateEnd = 10 * bvclock.Second
)

// play is a load under way.
type simulation struct {
	load    Load
	random  *rand.Rand
	now     bvclock.Time
	hosts   []*host
	engines []*engine
	byHash  map[uint64]*engine
	byName  map[string]*engine

	beginnings [][]bvroute.Part // by kind
	partsMade  uint64
	programs   []*program
	due        map[bvclock.Time][]*program // whose turn is sent then
	impatient  map[bvclock.Time][]*call    // whose caller leaves then, if it has not started
	result     Result
}

// host is a host's row.
type host struct {
	zone    int
	pool    *bvdispatch.Pool
	running map[uint64]int // calls by the hash of the engine's ID
	placed  []bvdispatch.Placement
}

// Simulate simulates a load to its end.
func Simulate(load Load) Result {
	play := &simulation{
		load: load, random: rand.New(rand.NewPCG(load.Seed, load.Seed)),
		byHash: make(map[uint64]*engine), byName: make(map[string]*engine),
		due: make(map[bvclock.Time][]*program), impatient: make(map[bvclock.Time][]*call),
	}
	play.build()
	for end := bvclock.Time(load.Duration + lateEnd); play.now < end; {
		play.now++
		play.beginPrograms()
		play.sendTurns()
		play.stepEngines()
		play.loseCallers()
		if play.now%bvclock.Time(load.DigestInterval) == 0 {
			play.tellDigests()
		}
	}
	return play.sum()
}

func (play *simulation) build() {
	listed := make([]bvplatform.Endpoint, play.load.Engines)
	for i := range listed {
		zone := i % play.load.Zones
		listed[i] = bvplatform.Endpoint{
			Name: fmt.Sprintf("engine-%d", i), Zone: zoneName(zone), Slots: play.load.Engine.Slots, CacheTokens: play.load.Engine.CacheTokens,
		}
		id := listed[i].ID()
		engine := newEngine(play.load.Engine, id, bvdispatch.HashID(id), zone)
		play.engines = append(play.engines, engine)
		play.byHash[engine.hash], play.byName[listed[i].Name] = engine, engine
	}
	for i := range play.load.Hosts {
		zone := i % play.load.Zones
		pool := bvdispatch.NewPool(play.load.Seed<<32+uint64(i), zoneName(zone))
		pool.Disable(play.load.Disabled)
		pool.SetEndpoints(listed)
		play.hosts = append(play.hosts, &host{zone: zone, pool: pool, running: make(map[uint64]int)})
	}
	for _, kind := range play.load.Kinds {
		parts := make([]bvroute.Part, kind.SharedPrefixes)
		for i := range parts {
			parts[i] = play.newPart(kind.PrefixSize)
		}
		play.beginnings = append(play.beginnings, parts)
	}
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// beginPrograms begins those of this millisecond; at a few hundred a second, that more
// than one of a kind begins in it is left out.
func (play *simulation) beginPrograms() {
	if bvclock.Duration(play.now) > play.load.Duration {
		return
	}
	for i, kind := range play.load.Kinds {
		rate := kind.Rate
		for _, crowd := range play.load.Surges {
			if since := bvclock.Duration(play.now) - crowd.Start; since >= 0 && since < crowd.Duration {
				rate *= crowd.Factor
			}
		}
		if play.random.Float64() < rate/float64(bvclock.Second) {
			begun := play.draw(i)
			begun.workspace = play.drawWorkspace(kind.Rate / rate)
			play.programs = append(play.programs, begun)
			play.later(begun, way)
		}
	}
}

// drawWorkspace draws the workspace of a program; usual is the share of programs that
// would begin without the crowd.
func (play *simulation) drawWorkspace(usual float64) string {
	switch {
	case play.load.Workspaces == 0:
		return ""
	case play.load.SingleWorkspaceSurge && play.random.Float64() >= usual:
		return workspaceName(0)
	}
	return workspaceName(play.random.IntN(play.load.Workspaces))
}

func workspaceName(number int) string { return fmt.Sprintf("workspace-%d", number) }

func (play *simulation) later(program *program, pause bvclock.Duration) {
	at := play.now.Add(max(pause, bvclock.Millisecond))
	play.due[at] = append(play.due[at], program)
}

func (play *simulation) sendTurns() {
	for _, program := range play.due[play.now] {
		play.send(program)
	}
	delete(play.due, play.now)
}

// send sends a program's next turn, or refuses it.
func (play *simulation) send(program *program) {
	host := play.hosts[program.host]
	if program.at == 0 {
		if comeBack, admitted := host.pool.Admit(play.now, bvdispatch.NewProgram{Priority: program.kind.Priority, Workspace: program.workspace}); !admitted {
			play.result.Refusals++
			play.comeAgain(program, comeBack)
			return
		}
	}
	request := &bvdispatch.Request{Prefix: program.prefix, PromptTokens: program.tokens}
	if play.load.Trackers && program.at > 0 {
		request.HeldPrefix = program.held
	}
	if play.load.Trackers && host.pool.NeedsPeerCalls(play.now) {
		request.PeerCalls = play.counts(host, host.pool.Shortlist(play.now, request))
	}
	chosen, found := host.pool.Choose(play.now, request)
	if !found {
		play.comeAgain(program, 0)
		return
	}
	play.begin(program, request, play.byName[chosen.Name])
}

// counts is what the engines' trackers tell a host.
func (play *simulation) counts(host *host, engines []uint64) map[uint64]int {
	counts := make(map[uint64]int, len(engines))
	for _, hash := range engines {
		counts[hash] = play.byHash[hash].calls() - host.running[hash]
	}
	return counts
}

func (play *simulation) begin(program *program, request *bvdispatch.Request, engine *engine) {
	host := play.hosts[program.host]
	for _, part := range host.pool.BeginCall(play.now, engine.id, request) {
		host.placed = append(host.placed, bvdispatch.Placement{Endpoint: engine.hash, Part: part})
	}
	host.running[engine.hash]++
	play.result.Sent++
	if engine.calls() >= engine.spec.Slots {
		play.result.Waited++
	}
	call := &call{
		program: program, request: request, host: program.host, engine: engine, sentAt: play.now,
		urgency: bvdispatch.Urgency(program.kind.Priority, program.at > 0), left: program.turns[program.at].output,
	}
	engine.submit(call)
	at := play.now.Add(callerTimeout)
	play.impatient[at] = append(play.impatient[at], call)
}

func (play *simulation) stepEngines() {
	for _, engine := range play.engines {
		for _, call := range engine.step() {
			play.end(call)
		}
	}
}

// end notes a turn's end and plans the next one.
func (play *simulation) end(call *call) {
	program := call.program
	program.held = bvdispatch.HeldPrefix{Endpoint: call.engine.hash, Tokens: program.tokens}
	play.leave(call, bvdispatch.Served)
	program.tries, program.sends = 0, 0
	pause := program.turns[program.at].pause
	program.at++
	if program.at == len(program.turns) {
		program.ended = play.now.Add(way)
		return
	}
	program.extend(program.turns[program.at].input)
	if play.random.Float64() < play.load.HostChangeShare {
		program.host = play.random.IntN(play.load.Hosts)
	}
	play.later(program, pause+2*way)
}

func (play *simulation) leave(call *call, outcome bvdispatch.Outcome) {
	host := play.hosts[call.host]
	host.pool.EndCall(play.now, call.engine.id, bvdispatch.Result{Outcome: outcome, Duration: play.now.Sub(call.sentAt), AnswerStarted: call.started})
	if host.running[call.engine.hash]--; host.running[call.engine.hash] == 0 {
		delete(host.running, call.engine.hash)
	}
	call.over = true
}

// loseCallers ends the calls whose callers have waited for too long.
func (play *simulation) loseCallers() {
	for _, call := range play.impatient[play.now] {
		if call.started || call.over {
			continue
		}
		call.engine.cancel(call)
		play.leave(call, bvdispatch.Withdrawn)
		call.program.tries = mostTries
		play.comeAgain(call.program, 0)
	}
	delete(play.impatient, play.now)
}

// comeAgain plans the next try of a caller that was refused or has left, or ends its
// program.
func (play *simulation) comeAgain(program *program, comeBack bvclock.Duration) {
	if program.tries++; program.tries < mostTries {
		play.later(program, comeBack)
		return
	}
	program.tries = 0
	if program.sends++; program.sends >= mostSends {
		program.failed = true
		return
	}
	play.later(program, leastPause+bvclock.Duration(play.random.Int64N(int64(morePause))))
}
