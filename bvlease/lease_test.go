package bvlease

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

const testRetain = maxRetain

// process is a process of a host in the simulated world.
type process struct {
	self    Host
	leases  *Leases
	pending *reading // whose result has not arrived
	lineage string   // incarnation of the first process in the chain of handovers to this one
}

// reading is a read of the list whose result has not arrived.
type reading struct {
	beganAt bvclock.Time
	hosts   []Host
}

// handover is the state that a planned stop leaves in the store.
type handover struct {
	known   KnownHosts
	at      bvclock.Time
	lineage string
}

// world holds the store's list, the hosts' processes, and the oracle's state: which
// lineage granted last for each program, and when.
type world struct {
	now       bvclock.Time
	starts    int
	listed    map[string]Host
	processes map[string]*process
	handovers map[string]handover
	granted   map[string]lastGrant
}

type lastGrant struct {
	lineage string
	at      bvclock.Time
}

func newWorld(hosts ...string) *world {
	world := &world{
		now: 1_000, listed: make(map[string]Host), processes: make(map[string]*process),
		handovers: make(map[string]handover), granted: make(map[string]lastGrant),
	}
	for _, host := range hosts {
		world.start(host, true)
		world.now = world.now.Add(50)
	}
	for _, host := range hosts {
		world.list(host)
	}
	world.now = world.now.Add(FirstReadDelay)
	for _, host := range hosts {
		world.beginRead(host)
		world.finishRead(host)
	}
	return world
}

func (world *world) start(name string, first bool) {
	world.starts++
	self := Host{Name: name, Incarnation: fmt.Sprintf("%s-%d", name, world.starts)}
	world.processes[name] = &process{self: self, leases: New(self, first, world.now), lineage: self.Incarnation}
}

// list writes a host's row, and inherits the handover of its previous process if that
// is not too old.
func (world *world) list(name string) {
	process := world.processes[name]
	if left, found := world.handovers[name]; found {
		delete(world.handovers, name)
		if world.now.Sub(left.at) < MaxHandoverAge {
			process.leases.Inherit(world.now, left.known)
			process.lineage = left.lineage
		}
	}
	world.listed[name] = process.self
	process.leases.RecordWrite(world.now)
}

// stop stops a host's process as planned.
func (world *world) stop(name string) {
	process := world.processes[name]
	known, inheritable := process.leases.Stop(world.now)
	if inheritable {
		world.handovers[name] = handover{known: known, at: world.now, lineage: process.lineage}
	}
	if world.listed[name].Incarnation == process.self.Incarnation {
		delete(world.listed, name)
	}
	delete(world.processes, name)
}

func (world *world) beginRead(name string) {
	reading := &reading{beganAt: world.now}
	for _, host := range world.listed {
		reading.hosts = append(reading.hosts, host)
	}
	world.processes[name].pending = reading
}

func (world *world) finishRead(name string) {
	process := world.processes[name]
	if process.pending != nil {
		process.leases.UpdateList(process.pending.beganAt, world.now, process.pending.hosts)
		process.pending = nil
	}
}

func (world *world) mayGrant(name, program string) bool {
	return world.processes[name].leases.MayGrant(world.now, program, testRetain)
}

// Guards against two hosts that grant the same half of a budget.
func TestNoTwoHostsGrantForOneProgram(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		world := newWorld(names[:3]...)
		host := rapid.SampledFrom(names)
		rt.Repeat(map[string]func(*rapid.T){
			"time": func(rt *rapid.T) {
				world.now = world.now.Add(rapid.SampledFrom([]bvclock.Duration{
					100, bvclock.Second, 10 * bvclock.Second, leaseTime, MaxProgramTime, TakeoverDelay,
				}).Draw(rt, "by"))
			},
			"read": func(rt *rapid.T) {
				if name := host.Draw(rt, "host"); world.processes[name] != nil {
					world.beginRead(name)
				}
			},
			"answer": func(rt *rapid.T) {
				if name := host.Draw(rt, "host"); world.processes[name] != nil {
					world.finishRead(name)
				}
			},
			"read all": func(rt *rapid.T) {
				for name := range world.processes {
					world.beginRead(name)
					world.finishRead(name)
				}
			},
			"kill": func(rt *rapid.T) {
				delete(world.processes, host.Draw(rt, "host"))
			},
			"stop": func(rt *rapid.T) {
				if name := host.Draw(rt, "host"); world.processes[name] != nil {
					world.stop(name)
				}
			},
			"start": func(rt *rapid.T) {
				if name := host.Draw(rt, "host"); world.processes[name] == nil {
					world.start(name, false)
				}
			},
			"list": func(rt *rapid.T) {
				if name := host.Draw(rt, "host"); world.processes[name] != nil && world.processes[name].leases.writtenAt == 0 {
					world.list(name)
				}
			},
			"": func(rt *rapid.T) { world.checkGrants(rt) },
		})
	})
}

// checkGrants lets each process grant that may do so, and fails if another lineage
// granted for the same program too recently.
func (world *world) checkGrants(t require.TestingT) {
	for _, program := range []string{"p", "q", "r", "s"} {
		for name, process := range world.processes {
			if !world.mayGrant(name, program) {
				continue
			}
			previous, found := world.granted[program]
			if found && previous.lineage != process.lineage && world.now.Sub(previous.at) <= MaxProgramTime+testRetain {
				require.Failf(t, "two grantors", "%s and %s granted for %s within %v",
					previous.lineage, process.lineage, program, world.now.Sub(previous.at))
			}
			world.granted[program] = lastGrant{lineage: process.lineage, at: world.now}
		}
	}
}

// Shows that the oracle detects hosts that grant by an outdated list.
func TestOracleCatchesAStaleGrantor(t *testing.T) {
	world := newWorld("a", "b")
	recorder := &recorder{}
	world.checkGrants(recorder)
	require.False(t, recorder.failed)
	for name, process := range world.processes {
		process.leases.UpdateList(world.now, world.now, []Host{process.self}) // each host sees only itself
		process.leases.departedHosts = nil
		require.True(t, world.mayGrant(name, "p"))
	}
	world.checkGrants(recorder)
	require.True(t, recorder.failed)
}

// recorder records that a check failed.
type recorder struct{ failed bool }

func (recorder *recorder) Errorf(string, ...any) { recorder.failed = true }
func (recorder *recorder) FailNow()              {}

// holders returns the host that may grant for each of 200 programs.
func (world *world) holders() map[string]string {
	holders := make(map[string]string)
	for i := range 200 {
		program := fmt.Sprint("program-", i)
		for name := range world.processes {
			if world.mayGrant(name, program) {
				holders[program] = name
			}
		}
	}
	return holders
}

// Guards against programs that have to wait for the store after the first start.
func TestEachProgramHasAGrantorAfterTheFirstStart(t *testing.T) {
	world := newWorld("a", "b", "c")
	require.Len(t, world.holders(), 200)
}

// Guards against a single grantor that receives the requests of all other hosts.
func TestProgramsAreSpreadEvenly(t *testing.T) {
	leases := New(Host{Name: "edge-0"}, true, 1)
	var hosts []Host
	for i := range 13 {
		hosts = append(hosts, Host{Name: fmt.Sprint("edge-piran-hall-", i), Incarnation: fmt.Sprint(i)})
	}
	leases.UpdateList(1, 1, hosts)
	counts := make(map[string]int)
	for i := range 13_000 {
		holder, _ := leases.Holder(fmt.Sprintf("%x", i*7919))
		counts[holder.Name]++
	}
	require.Len(t, counts, 13)
	for name, count := range counts {
		require.InDelta(t, 1000, count, 150, name)
	}
}

// Guards against a successor process that ignores hosts which left while it was down.
func TestSuccessorWaitsForHostsThatLeftMeanwhile(t *testing.T) {
	world := newWorld("a", "b")
	before := world.holders()
	world.stop("a")
	world.stop("b")
	world.start("a", false)
	world.list("a")
	world.beginRead("a")
	world.finishRead("a")
	for program, holder := range before {
		require.Equal(t, holder == "a", world.mayGrant("a", program), program)
	}
}

// Guards against hosts that stop granting in an outage of the store of 20 s, or still
// grant by a list that is too old.
func TestHostsGrantWhileTheListCannotBeRead(t *testing.T) {
	world := newWorld("a", "b", "c")
	world.now = world.now.Add(20 * bvclock.Second)
	require.Len(t, world.holders(), 200)
	world.now = world.now.Add(leaseTime)
	require.Empty(t, world.holders(), "another host may have taken over meanwhile")
}

// Guards against planned restarts after which programs can't start in an outage.
func TestPlannedRestartsKeepGrantors(t *testing.T) {
	world := newWorld("a", "b", "c")
	before := world.holders()
	for _, name := range []string{"a", "b", "c"} {
		world.stop(name)
		world.now = world.now.Add(bvclock.Second)
		world.start(name, false)
		world.list(name)
		for reader := range world.processes {
			world.beginRead(reader)
			world.finishRead(reader)
		}
	}
	require.Equal(t, before, world.holders())
}

// Guards against a host that crashes, restarts and grants the same budget again.
func TestCrashedHostDoesNotGrantAgainSoon(t *testing.T) {
	world := newWorld("a", "b", "c")
	before := world.holders()
	delete(world.processes, "a")
	world.start("a", false)
	world.list("a")
	for reader := range world.processes {
		world.beginRead(reader)
		world.finishRead(reader)
	}
	for program, holder := range world.holders() {
		require.Equal(t, before[program], holder)
		require.NotEqual(t, "a", holder)
	}
}

// Guards against a host that is listed again and grants between two reads of the list.
func TestDelayRestartsForAHostThatWasListedUnseen(t *testing.T) {
	world := newWorld("a", "b")
	var program string
	for candidate, holder := range world.holders() {
		if holder == "a" {
			program = candidate
		}
	}
	world.stop("a")
	world.beginRead("b")
	world.finishRead("b")
	world.now = world.now.Add(20 * bvclock.Second)
	world.start("a", false)
	world.list("a")
	world.beginRead("a")
	world.finishRead("a")
	world.now = world.now.Add(bvclock.Minute)
	world.beginRead("a")
	world.finishRead("a")
	require.True(t, world.mayGrant("a", program))
	grantedAt := world.now
	world.stop("a")
	for world.now.Sub(grantedAt) <= MaxProgramTime+testRetain {
		world.now = world.now.Add(10 * bvclock.Second)
		world.beginRead("b")
		world.finishRead("b")
		require.False(t, world.mayGrant("b", program) && world.now.Sub(grantedAt) <= MaxProgramTime+testRetain)
	}
}

// Guards against budgets whose parts are computed by two rules, beside hosts of older builds or after they have left.
func TestOldestRuleHoldsUntilItsProgramsHaveEnded(t *testing.T) {
	leases := New(Host{Name: "a"}, false, 0)
	require.Equal(t, CurrentRule, leases.OldestRule(0))
	leases.ExtendRule(GrantThird, 200)
	leases.ExtendRule(GrantHalf, 100)
	leases.ExtendRule(GrantHalf, 50)
	leases.ExtendRule(CurrentRule+1, 500)
	require.Equal(t, GrantHalf, leases.OldestRule(99))
	require.Equal(t, GrantThird, leases.OldestRule(100))
	require.Equal(t, CurrentRule, leases.OldestRule(200))
}
