package bvstream

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// minRetention is how long a start is kept at least. Callers resume a stream within their time
// limit.
const minRetention = bvclock.Minute

// Peers are the other hosts.
type Peers interface {
	// ReplicateStart sends a start to a few hosts and waits for their answers for a short time.
	ReplicateStart(start Start, retain bvclock.Duration) []Copy
	// FindStart asks other hosts for the start of a stream.
	FindStart(key Key, content uint64) Inquiry
	// StoreOrigins reports whether all other hosts store the origins at which they start streams.
	StoreOrigins() bool
}

// Inquiry is what other hosts know of a start.
type Inquiry struct {
	Findings []PeerFinding // of those that answered
	Asked    int           // hosts
	// IsPartial: there may be hosts that were not asked.
	IsPartial bool
}

// Copy is another host's answer to a start that it was sent.
type Copy struct {
	State State
	// OriginFor is how long the host knows the start's origin to be stored; 0: it does not.
	OriginFor bvclock.Duration
}

// Endpoints are the listed endpoints.
type Endpoints interface {
	// EndpointByName returns the entry of an endpoint.
	EndpointByName(service, name string) (bvplatform.Endpoint, bool)
}

// Counters counts events by kind.
type Counters interface {
	Count(name, kind string)
}

// Parts are the components that Streams uses. All fields must be set.
type Parts struct {
	Name      string // of this host
	Clock     bvclock.Clock
	Peers     Peers
	Store     bvplatform.Store
	Endpoints Endpoints
	Counters  Counters
	Log       logrus.FieldLogger
}

// Streams records starts of streams and finds them again. Make one with New; it is safe for
// concurrent use.
type Streams struct {
	parts   Parts
	origins *origins

	mutex sync.Mutex
	table Table
}

// New returns Streams without starts.
func New(parts Parts) *Streams {
	return &Streams{parts: parts, origins: newOrigins(parts)}
}

// Len returns how many starts this host knows.
func (streams *Streams) Len() int {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	return streams.table.Len()
}

// Evicted returns how many starts were evicted before they expired.
func (streams *Streams) Evicted() int64 {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	return streams.table.evicted
}

func (streams *Streams) add(start Start, retain bvclock.Duration) State {
	now := streams.parts.Clock.Now()
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	return streams.table.Add(now, start, retain)
}

// EnsureStored reports whether an origin of streams is known to be stored. If not, or not for much
// longer, it starts to store it.
func (streams *Streams) EnsureStored(origin HostOrigin) bool {
	isStored := streams.origins.storedFor(origin) > 0
	if streams.origins.isDue(origin) {
		streams.origins.startStoring(origin)
	}
	return isStored
}

// StoreOrigins stores origins before streams start there, so that streams can start while the store
// is unavailable.
func (streams *Streams) StoreOrigins(ctx context.Context, wanted []HostOrigin) error {
	due := slices.DeleteFunc(slices.Clone(wanted), func(origin HostOrigin) bool { return !streams.origins.isDue(origin) })
	if len(due) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout.Std())
	defer cancel()
	return streams.origins.storeAll(ctx, originsPart, due)
}

// AddCopy records a start of another host, and returns the answer to it. Without a key, the other
// host only asks for the origin.
func (streams *Streams) AddCopy(start Start, retain bvclock.Duration) Copy {
	copied := Copy{State: Known, OriginFor: streams.origins.storedFor(start.hostOrigin())}
	if start.Key != (Key{}) {
		copied.State = streams.add(start, retain)
	}
	return copied
}

// Lookup returns what this host knows of a stream's start.
func (streams *Streams) Lookup(key Key, content uint64) Finding {
	now := streams.parts.Clock.Now()
	streams.mutex.Lock()
	finding := streams.table.Find(now, key, content)
	streams.mutex.Unlock()
	if finding.State == Known && streams.hasChanged(&finding.Start) {
		finding.State = Ambiguous
	}
	return finding
}

// hasChanged reports whether the endpoint of a start has another version now. An endpoint that
// starts again under its name may have done so before the stream's first event, unnoticed by the
// host that recorded it.
func (streams *Streams) hasChanged(start *Start) bool {
	entry, found := streams.parts.Endpoints.EndpointByName(start.Service, start.Endpoint)
	return found && entry.Version != start.Version
}

// Recording is a start that is being recorded.
type Recording struct {
	recorded chan struct{}
	err      error // set before recorded is closed
}

// Record records a start, here and at a few other hosts, and stores its origin. It does not wait for
// that. Without a key, only the origin is stored. Of an unknown version, nothing is: the stream
// can't be resumed.
func (streams *Streams) Record(start Start, retain bvclock.Duration) *Recording {
	recording := &Recording{recorded: make(chan struct{})}
	isStored := streams.origins.storedFor(start.hostOrigin()) > 0
	if start.Version == "" || start.Key == (Key{}) && isStored {
		close(recording.recorded)
		return recording
	}
	go func() {
		defer close(recording.recorded)
		isKnown := streams.replicate(start, max(retain, minRetention))
		if !isStored && !isKnown {
			recording.err = streams.origins.store(start.hostOrigin())
		}
	}()
	return recording
}

// replicate records a start here and at a few other hosts, and reports whether one of them knows
// that its origin is stored.
func (streams *Streams) replicate(start Start, retain bvclock.Duration) (isStored bool) {
	copies := streams.parts.Peers.ReplicateStart(start, retain)
	for _, copied := range copies {
		streams.origins.learn(start.hostOrigin(), copied.OriginFor)
		isStored = isStored || copied.OriginFor > 0
	}
	if start.Key != (Key{}) {
		streams.parts.Counters.Count("stream_starts", fmt.Sprintf("%d copies", len(copies)))
		streams.addOwn(start, retain, slices.ContainsFunc(copies, func(copied Copy) bool { return copied.State == Ambiguous }))
	}
	return isStored
}

// addOwn records a start of this host. It is ambiguous if another host has a different one.
func (streams *Streams) addOwn(start Start, retain bvclock.Duration, isAmbiguous bool) {
	if isAmbiguous {
		other := start
		other.Content++
		streams.add(other, retain)
	}
	if streams.add(start, retain) == Ambiguous {
		streams.parts.Log.WithFields(logrus.Fields{"service": start.Service, "endpoint": start.Endpoint}).
			Warn("several streams started under one attempt id")
	}
}

// Await waits until the start is recorded. The first event of the stream may be passed on only if
// it returns no error.
func (recording *Recording) Await(ctx context.Context) error {
	select {
	case <-recording.recorded:
		return recording.err
	case <-ctx.Done():
		return ctx.Err()
	}
}
