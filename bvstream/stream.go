// Package bvstream knows at which software version of a service's endpoints a stream started, so
// that a caller that resumes it at any host gets the rest from that version.
//
// # Starts
//
// Before a stream's first event is passed on, its host records the start: the attempt, the
// service and the version. The record does not change, and a few other hosts get a copy. An
// attempt that is sent to another endpoint stays at its version. A host at which the stream is
// resumed queries the others. What it learns is true, whichever hosts are lost: a lost record only
// means that the start is unknown, and then the stream does not go on.
//
// # Origins
//
// An Origin is a service and a version. The platform's store has all origins at which streams of a
// host name have started. An event is passed on only after its origin is stored. If there is a single
// one, a stream whose record is lost started there.
//
// # Usage
//
//	streams := bvstream.New(bvstream.Parts{Clock: clock, Peers: peers, Store: store, Endpoints: endpoints, ...})
//	recording := streams.Record(start, retain)
//	err := recording.Await(ctx) // before the first event is passed on
//	known, err := streams.Find(ctx, bvstream.Query{...}) // when a caller resumes a stream
package bvstream

import (
	"crypto/sha256"
	"io"

	"balsamvalve.example/bvclock"
)

// Key identifies an attempt of a caller by its workspace and ID.
type Key [16]byte

// maxAttemptBytes bounds the ID of an attempt that is recorded or looked up.
const maxAttemptBytes = 128

// NewKey returns the key of an attempt. It returns false if the ID is empty or too long.
func NewKey(workspace, attempt string) (Key, bool) {
	var key Key
	if attempt == "" || len(attempt) > maxAttemptBytes {
		return key, false
	}
	digest := sha256.New()
	_, _ = io.WriteString(digest, workspace+"\x00"+attempt) // a hash does not fail
	copy(key[:], digest.Sum(nil))
	return key, true
}

// Origin is a software version of a service's endpoints, at which streams start.
type Origin struct {
	Service string
	Version string // "": unknown
}

// Start states where the first event of a stream comes from.
type Start struct {
	Key     Key
	Content uint64 // hash of the request
	Origin
	Endpoint string // name
	HostName string // of the request
}

func (start *Start) hostOrigin() HostOrigin { return HostOrigin{start.HostName, start.Origin} }

// isSame reports whether two starts of one attempt agree.
func (start *Start) isSame(other *Start) bool {
	return start.Content == other.Content && start.Origin == other.Origin
}

//go:generate stringer -type=State -linecomment -output=state_string.go

// State is what a host knows of a stream's start.
type State int

// The states.
const (
	Unknown   State = iota // unknown
	Known                  // known
	Ambiguous              // ambiguous
)

// Finding is what a host knows of a stream's start.
type Finding struct {
	State State
	Start Start            // if it is known
	Age   bvclock.Duration // since the start was recorded
}
