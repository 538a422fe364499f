package bvtable

import (
	"context"
	"errors"
	"fmt"
	"math"

	"balsamvalve.example/bvclock"
)

// peersPerPoll is the number of peers that are asked when the store is out.
// Each poll asks other ones, so that a version which one host has reaches all
// in a few polls without everybody asking everybody.
const peersPerPoll = 3

// versionOnly asks a peer for its version, without its table.
const versionOnly = math.MaxInt64

// Peers asks other hosts for their tables.
type Peers interface {
	// Names returns the other live hosts, as last known.
	Names() []string
	// FetchSnapshot returns the version that a host has in force and, if that is above
	// known, its encoded table.
	FetchSnapshot(ctx context.Context, host string, known int64) (version int64, snapshot []byte, err error)
}

// askPeers takes the highest version that peers show, from one of those that
// have it.
//
// All answers are awaited before any is put in force. A host that starts in
// an outage would otherwise work with the table of whichever peer answers
// first, which may be older than what the host had before its restart.
func (follower *Follower) askPeers(ctx context.Context) error {
	names := follower.choosePeers()
	sent := follower.Clock.Now()
	answers := make(chan peerAnswer, len(names))
	for _, name := range names {
		go func() { answers <- follower.askPeer(ctx, name, versionOnly) }()
	}
	failures := []error{errors.New("table: no peer confirmed")}
	var newest []peerAnswer
	for range names {
		answer := <-answers
		switch {
		case answer.err != nil:
			failures = append(failures, answer.err)
		case len(newest) == 0 || answer.version > newest[0].version:
			newest = []peerAnswer{answer}
		case answer.version == newest[0].version:
			newest = append(newest, answer)
		}
	}
	if len(newest) == 0 {
		return errors.Join(failures...)
	}
	return follower.takeFromPeers(ctx, newest, sent)
}

// takeFromPeers gets the table from the first of the peers that gives it.
func (follower *Follower) takeFromPeers(ctx context.Context, peers []peerAnswer, sent bvclock.Time) error {
	shown := peers[0].version
	known, _ := follower.VersionInForce()
	var failures []error
	for _, peer := range peers {
		if known >= shown {
			break
		}
		answer := follower.askPeer(ctx, peer.name, known)
		if answer.table == nil {
			failures = append(failures, answer.err)
			continue
		}
		follower.install(answer.table)
		known, _ = follower.VersionInForce()
	}
	if known < shown {
		return fmt.Errorf("table: no peer gave version %d: %w", shown, errors.Join(failures...))
	}
	follower.confirm(shown, sent)
	return nil
}

type peerAnswer struct {
	name    string
	version int64
	table   *Table // nil unless newer than known
	err     error
}

func (follower *Follower) askPeer(ctx context.Context, name string, known int64) peerAnswer {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Std())
	defer cancel()
	version, snapshot, err := follower.Peers.FetchSnapshot(ctx, name, known)
	if err != nil {
		return peerAnswer{err: fmt.Errorf("table: ask host %s: %w", name, err)}
	}
	answer := peerAnswer{name: name, version: version}
	if len(snapshot) > 0 {
		answer.table, answer.err = Decode(snapshot)
	}
	return answer
}

func (follower *Follower) choosePeers() []string {
	if follower.Peers == nil {
		return nil
	}
	names := follower.Peers.Names()
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if !follower.state.HasTable() || len(names) <= peersPerPoll {
		return names
	}
	chosen := make([]string, 0, peersPerPoll)
	for range peersPerPoll {
		chosen = append(chosen, names[follower.nextPeer%len(names)])
		follower.nextPeer++
	}
	return chosen
}
