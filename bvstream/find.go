package bvstream

import (
	"context"
	"errors"

	"balsamvalve.example/bvclock"
)

// Errors of Find. A stream whose start is not known must not go on.
var (
	// ErrUnknown means that no host that answered knows the start. Others may.
	ErrUnknown = errors.New("streams: the start is not known")
	// ErrNeverKnown means that all other hosts have answered, and none knows the start.
	ErrNeverKnown = errors.New("streams: no host knows the start")
	// ErrAmbiguous means that what hosts know of the start is contradictory.
	ErrAmbiguous = errors.New("streams: the start is ambiguous")
)

// Query asks for the start of a stream that a caller resumes.
type Query struct {
	Workspace string
	Attempt   string // that brought the first event, by the caller's header
	Content   uint64 // hash of the request
	HostName  string // of the request
}

// Source is what a Finding of Find is based on.
type Source struct {
	Name     string           // host that knows the start, or "store"
	Age      bvclock.Duration // since the start was recorded
	Asked    int              // hosts
	Answered int
	Origins  int // stored for the host name, if no host knows the start

	isPartial bool // there may be hosts that were not asked
}

// sourceStore is the name of the platform's store as a source.
const sourceStore = "store"

// PeerFinding is what another host knows.
type PeerFinding struct {
	Finding
	Host string
}

// Find returns where a stream started.
func (streams *Streams) Find(ctx context.Context, query Query) (Origin, Source, error) {
	var source Source
	if key, valid := NewKey(query.Workspace, query.Attempt); valid {
		own := PeerFinding{streams.Lookup(key, query.Content), streams.parts.Name}
		inquiry := streams.parts.Peers.FindStart(key, query.Content)
		source.Asked, source.Answered, source.isPartial = inquiry.Asked, len(inquiry.Findings), inquiry.IsPartial
		found, err := merge(append(inquiry.Findings, own))
		if err != nil {
			streams.parts.Counters.Count("stream_starts_sought", "ambiguous")
			return Origin{}, source, err
		}
		if found.State == Known {
			streams.parts.Counters.Count("stream_starts_sought", "known")
			streams.add(found.Start, minRetention)
			source.Name, source.Age = found.Host, found.Age
			return found.Start.Origin, source, nil
		}
	}
	return streams.findOnlyOrigin(ctx, query, source)
}

// findOnlyOrigin returns the only origin of all streams of a host name.
func (streams *Streams) findOnlyOrigin(ctx context.Context, query Query, source Source) (Origin, Source, error) {
	origins, err := streams.originsOf(ctx, query.HostName)
	source.Origins = len(origins)
	if len(origins) == 1 {
		streams.parts.Counters.Count("stream_starts_sought", "only origin")
		source.Name = sourceStore
		return origins[0].Origin, source, nil
	}
	streams.parts.Counters.Count("stream_starts_sought", "unknown")
	if err == nil && source.Asked == source.Answered && !source.isPartial {
		return Origin{}, source, ErrNeverKnown
	}
	return Origin{}, source, errors.Join(ErrUnknown, err)
}

// originsOf returns the stored origins of a host name, or none if some host does not store the
// origins at which it starts streams.
func (streams *Streams) originsOf(ctx context.Context, host string) ([]HostOrigin, error) {
	if !streams.parts.Peers.StoreOrigins() {
		return nil, nil
	}
	return streams.origins.of(ctx, host)
}

// merge returns what some hosts know together.
func merge(findings []PeerFinding) (PeerFinding, error) {
	var known PeerFinding
	for _, finding := range findings {
		switch {
		case finding.State == Ambiguous:
			return PeerFinding{}, ErrAmbiguous
		case finding.State == Unknown:
		case known.State == Known && !known.Start.isSame(&finding.Start):
			return PeerFinding{}, ErrAmbiguous
		case known.State != Known || finding.Age > known.Age:
			known = finding
		}
	}
	return known, nil
}
