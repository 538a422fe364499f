package bvstream

import (
	"context"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmeasure"
	"balsamvalve.example/bvplatform"
)

// world is a few hosts with a store. Links between hosts and to the store can be cut.
type world struct {
	clock   *bvclock.Manual
	store   bvplatform.Memory
	hosts   []*worldHost
	entries map[string]bvplatform.Endpoint // of the list of endpoints, by name
	cut     map[[2]int]bool                // links between hosts
	old     bool                           // some host does not store origins
}

// worldHost is a host of a world.
type worldHost struct {
	*Streams
	world    *world
	number   int
	down     bool
	storeCut bool
}

func newWorld(hosts int) *world {
	world := &world{clock: &bvclock.Manual{}, cut: make(map[[2]int]bool), entries: make(map[string]bvplatform.Endpoint)}
	world.clock.Advance(bvclock.Minute)
	for number := range hosts {
		host := &worldHost{world: world, number: number}
		host.restart()
		world.hosts = append(world.hosts, host)
	}
	return world
}

// restart starts the host anew: it forgets all.
func (host *worldHost) restart() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	host.Streams = New(Parts{
		Name: string(rune('a' + host.number)), Clock: host.world.clock, Peers: host, Store: gatedStore{host}, Endpoints: host.world,
		Counters: bvmeasure.New(), Log: log,
	})
	host.origins.wallTime = func() time.Time { return time.UnixMilli(int64(host.world.clock.Now())) }
	host.down = false
}

func (world *world) EndpointByName(service, name string) (bvplatform.Endpoint, bool) {
	entry, found := world.entries[name]
	return entry, found && entry.Serves == service
}

func (host *worldHost) reaches(other *worldHost) bool {
	link := [2]int{min(host.number, other.number), max(host.number, other.number)}
	return host != other && !host.down && !other.down && !host.world.cut[link]
}

// copies is the number of hosts that keep a copy of a start in a world.
const copies = 2

func (host *worldHost) ReplicateStart(start Start, retain bvclock.Duration) (replies []Copy) {
	for i := range host.world.hosts {
		other := host.world.hosts[(int(start.Key[0])+i)%len(host.world.hosts)]
		if len(replies) < copies && host.reaches(other) {
			replies = append(replies, other.AddCopy(start, retain))
		}
	}
	return replies
}

func (host *worldHost) FindStart(key Key, content uint64) (inquiry Inquiry) {
	for _, other := range host.world.hosts {
		if other == host {
			continue
		}
		inquiry.Asked++
		if host.reaches(other) {
			inquiry.Findings = append(inquiry.Findings, PeerFinding{other.Lookup(key, content), other.parts.Name})
		}
	}
	return inquiry
}

func (host *worldHost) StoreOrigins() bool { return !host.world.old }

// gatedStore is the store as a host reaches it.
type gatedStore struct{ host *worldHost }

func (store gatedStore) isCut() bool { return store.host.storeCut || store.host.down }

func (store gatedStore) Commit(ctx context.Context, transaction bvplatform.Transaction) (int64, error) {
	if store.isCut() {
		return 0, bvplatform.ErrUnavailable
	}
	return store.host.world.store.Commit(ctx, transaction)
}

func (store gatedStore) Read(ctx context.Context, keys ...string) ([]bvplatform.Row, error) {
	if store.isCut() {
		return nil, bvplatform.ErrUnavailable
	}
	return store.host.world.store.Read(ctx, keys...)
}

func (store gatedStore) Scan(ctx context.Context, prefix, after string, limit int) ([]bvplatform.Row, error) {
	if store.isCut() {
		return nil, bvplatform.ErrUnavailable
	}
	return store.host.world.store.Scan(ctx, prefix, after, limit)
}

const testHostName = "h.example"

// start starts a stream at a version, and reports whether its first event may be passed on.
func (host *worldHost) start(attempt string, origin Origin) bool {
	key, _ := NewKey("w", attempt)
	recording := host.Record(Start{Key: key, Content: 7, Origin: origin, Endpoint: "e", HostName: testHostName}, bvclock.Second)
	return recording.Await(context.Background()) == nil
}

func (host *worldHost) find(attempt string) (Origin, error) {
	origin, _, err := host.Find(context.Background(), Query{Workspace: "w", Attempt: attempt, Content: 7, HostName: testHostName})
	return origin, err
}

// FuzzStarts plays starts and resumptions of streams at hosts that are lost, cut off from the store
// and from each other, against an oracle that knows each start.
func FuzzStarts(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkStarts)) }

// TestAFoundStartIsTheTrueOne guards against a stream that goes on at another version than the one
// that started it.
func TestAFoundStartIsTheTrueOne(t *testing.T) { rapid.Check(t, checkStarts) }

func checkStarts(t *rapid.T) {
	world := newWorld(rapid.IntRange(1, 5).Draw(t, "hosts"))
	versions := []Origin{{"s", "v1"}, {"s", "v2"}, {"r", "v1"}}
	listed := 1
	started := make(map[string]Origin) // streams whose first event was passed on
	attempts := 0
	anyHost := func(t *rapid.T) *worldHost { return rapid.SampledFrom(world.hosts).Draw(t, "host") }
	t.Repeat(map[string]func(*rapid.T){
		"start a stream": func(t *rapid.T) {
			host := anyHost(t)
			attempt, origin := string(rune('A'+attempts)), rapid.SampledFrom(versions[:listed]).Draw(t, "origin")
			attempts++
			if !host.down && host.start(attempt, origin) {
				started[attempt] = origin
			}
		},
		"resume": func(t *rapid.T) {
			host := anyHost(t)
			if host.down || len(started) == 0 {
				return
			}
			attempt := rapid.SampledFrom(slices.Sorted(maps.Keys(started))).Draw(t, "attempt")
			if origin, err := host.find(attempt); err == nil {
				require.Equal(t, started[attempt], origin, "the origin of %s", attempt)
			}
		},
		"list a version": func(*rapid.T) { listed = min(listed+1, len(versions)) },
		"kill": func(t *rapid.T) {
			host := anyHost(t)
			host.restart()
			host.down = rapid.Bool().Draw(t, "stays down")
		},
		"kill all": func(*rapid.T) {
			for _, host := range world.hosts {
				host.restart()
			}
		},
		"start a host": func(t *rapid.T) { anyHost(t).down = false },
		"cut the store": func(t *rapid.T) {
			host := anyHost(t)
			host.storeCut = !host.storeCut
		},
		"cut a link": func(t *rapid.T) {
			a, b := anyHost(t).number, anyHost(t).number
			link := [2]int{min(a, b), max(a, b)}
			world.cut[link] = !world.cut[link]
		},
		"wait": func(t *rapid.T) {
			world.clock.Advance(bvclock.Duration(rapid.IntRange(1, 3).Draw(t, "thirds of a minute")) * 20 * bvclock.Second)
		},
	})
}

const (
	testTimeout = 10 * time.Second
	tick        = time.Millisecond
)
