package bvlease

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

const testRetain = longestRetain

// process is a host's process in the test's world.
type process struct {
	self    Host
	leases  *Leases
	read    *reading // under way
	lineage string   // first of the processes that handed over up to this one
}

// reading is a look at the list whose answer has not come yet.
type reading struct {
	asked bvclock.Time
	hosts []Host
}

// handover is what a planned stop leaves in the store.
type handover struct {
	known   KnownHosts
	at      bvclock.Time
	lineage string
}

// world is the store's list and the hosts' processes, with the oracle: who
// granted last for each program, and when.
type world struct {
	now       bvclock.Time
	starts    int
	listed    map[string]Host
	processes map[string]*process
	handovers map[string]handover
	granted   map[string]grantSeen
}

type grantSeen struct {
	lineage string
	at      bvclock.Time
}

func newWorld(hosts ...string) *world {
	world := &world{
		now: 1_000, listed: make(map[string]Host), processes: make(map[string]*process),
		handovers: make(map[string]handover), granted: make(map[string]grantSeen),
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
		world.ask(host)
		world.answer(host)
	}
	return world
}

func (world *world) start(name string, first bool) {
	world.starts++
	self := Host{Name: name, Incarnation: fmt.Sprintf("%s-%d", name, world.starts)}
	world.processes[name] = &process{self: self, leases: New(self, first, world.now), lineage: self.Incarnation}
}

// list writes a host's row, and takes over what its last process left if that is
// not too old.
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

// stop is a planned stop.
func (world *world) stop(name string) {
	process := world.processes[name]
	known, heritable := process.leases.Stop(world.now)
	if heritable {
		world.handovers[name] = handover{known: known, at: world.now, lineage: process.lineage}
	}
	if world.listed[name].Incarnation == process.self.Incarnation {
		delete(world.listed, name)
	}
	delete(world.processes, name)
}

func (world *world) ask(name string) {
	reading := &reading{asked: world.now}
	for _, host := range world.listed {
		reading.hosts = append(reading.hosts, host)
	}
	world.processes[name].read = reading
}

func (world *world) answer(name string) {
	process := world.processes[name]
	if process.read != nil {
		process.leases.UpdateList(process.read.asked, world.now, process.read.hosts)
		process.read = nil
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
					100, bvclock.Second, 10 * bvclock.Second, leaseTime, MaxProgramTime, longestTakeover,
				}).Draw(rt, "by"))
			},
			"read": func(rt *rapid.T) {
				if name := host.Draw(rt, "host"); world.processes[name] != nil {
					world.ask(name)
				}
			},
			"answer": func(rt *rapid.T) {
				if name := host.Draw(rt, "host"); world.processes[name] != nil {
					world.answer(name)
				}
			},
			"read all": func(rt *rapid.T) {
				for name := range world.processes {
					world.ask(name)
					world.answer(name)
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
				if name := host.Draw(rt, "host"); world.processes[name] != nil && world.processes[name].leases.wrote == 0 {
					world.list(name)
				}
			},
			"": func(rt *rapid.T) { world.checkGrants(rt) },
		})
	})
}

// checkGrants lets each process that may grant do so, and compares with who did
// before.
func (world *world) checkGrants(t require.TestingT) {
	for _, program := range []string{"p", "q", "r", "s"} {
		for name, process := range world.processes {
			if !world.mayGrant(name, program) {
				continue
			}
			before, any := world.granted[program]
			if any && before.lineage != process.lineage && world.now.Sub(before.at) <= MaxProgramTime+testRetain {
				require.Failf(t, "two grantors", "%s and %s granted for %s within %v",
					before.lineage, process.lineage, program, world.now.Sub(before.at))
			}
			world.granted[program] = grantSeen{lineage: process.lineage, at: world.now}
		}
	}
}

// Shows that the oracle notices hosts that grant by an old list.
func TestOracleCatchesAStaleGrantor(t *testing.T) {
	world := newWorld("a", "b")
	caught := &recorder{}
	world.checkGrants(caught)
	require.False(t, caught.failed)
	for name, process := range world.processes {
		process.leases.UpdateList(world.now, world.now, []Host{process.self}) // each sees itself alone
		process.leases.departedHosts = nil
		require.True(t, world.mayGrant(name, "p"))
	}
	world.checkGrants(caught)
	require.True(t, caught.failed)
}

// recorder notes that a check failed.
type recorder struct{ failed bool }

func (recorder *recorder) Errorf(string, ...any) { recorder.failed = true }
func (recorder *recorder) FailNow()              {}

// holders returns which hosts may grant for any of some programs.
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

// Guards against programs that wait for the store after the first start.
func TestEachProgramHasAGrantorAfterTheFirstStart(t *testing.T) {
	world := newWorld("a", "b", "c")
	require.Len(t, world.holders(), 200)
}

// Guards against one grantor that all others ask.
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

// Guards against a successor that forgets hosts which left in between.
func TestSuccessorWaitsForHostsThatLeftMeanwhile(t *testing.T) {
	world := newWorld("a", "b")
	before := world.holders()
	world.stop("a")
	world.stop("b")
	world.start("a", false)
	world.list("a")
	world.ask("a")
	world.answer("a")
	for program, holder := range before {
		require.Equal(t, holder == "a", world.mayGrant("a", program), program)
	}
}

// The store is away for twenty seconds. Hosts go on with the list that they have.
func TestHostsGrantWhileTheListCannotBeRead(t *testing.T) {
	world := newWorld("a", "b", "c")
	world.now = world.now.Add(20 * bvclock.Second)
	require.Len(t, world.holders(), 200)
	world.now = world.now.Add(leaseTime)
	require.Empty(t, world.holders(), "another host may have taken over meanwhile")
}

// Guards against planned restarts after which programs can't begin in an outage.
func TestPlannedRestartsKeepGrantors(t *testing.T) {
	world := newWorld("a", "b", "c")
	before := world.holders()
	for _, name := range []string{"a", "b", "c"} {
		world.stop(name)
		world.now = world.now.Add(bvclock.Second)
		world.start(name, false)
		world.list(name)
		for reader := range world.processes {
			world.ask(reader)
			world.answer(reader)
		}
	}
	require.Equal(t, before, world.holders())
}

// Guards against a host that grants again what it granted before it died.
func TestHostThatDiedDoesNotGrantAgainSoon(t *testing.T) {
	world := newWorld("a", "b", "c")
	before := world.holders()
	delete(world.processes, "a")
	world.start("a", false)
	world.list("a")
	for reader := range world.processes {
		world.ask(reader)
		world.answer(reader)
	}
	for program, holder := range world.holders() {
		require.Equal(t, before[program], holder)
		require.NotEqual(t, "a", holder)
	}
}

// Guards against a host that was back and granted between two readings.
func TestHostThatWasBackUnseenIsWaitedForAgain(t *testing.T) {
	world := newWorld("a", "b")
	var program string
	for candidate, holder := range world.holders() {
		if holder == "a" {
			program = candidate
		}
	}
	world.stop("a")
	world.ask("b")
	world.answer("b")
	world.now = world.now.Add(20 * bvclock.Second)
	world.start("a", false)
	world.list("a")
	world.ask("a")
	world.answer("a")
	world.now = world.now.Add(bvclock.Minute)
	world.ask("a")
	world.answer("a")
	require.True(t, world.mayGrant("a", program))
	granted := world.now
	world.stop("a")
	for world.now.Sub(granted) <= MaxProgramTime+testRetain {
		world.now = world.now.Add(10 * bvclock.Second)
		world.ask("b")
		world.answer("b")
		require.False(t, world.mayGrant("b", program) && world.now.Sub(granted) <= MaxProgramTime+testRetain)
	}
}
