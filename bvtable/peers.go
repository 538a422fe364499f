package bvtable

import (
	"context"
	"errors"
	"fmt"
	"math"

	"balsamvalve.example/bvclock"
)

// peersPerPoll is the number of peers that are queried when the store is unavailable. Each
// poll queries different peers, so that a version spreads from one host to all in a few polls
// without each host querying all others.
const peersPerPoll = 3

// versionOnly is a known version that makes a peer return its version without the table.
const versionOnly = math.MaxInt64

// Peers fetches the tables of other hosts.
type Peers interface {
	// Names returns the other hosts that were live when the list was last read.
	Names() []string
	// FetchSnapshot returns the version that a host has in force and, if that is above known,
	// its encoded table.
	FetchSnapshot(ctx context.Context, host string, known int64) (version int64, snapshot []byte, err error)
}

// queryPeers installs the highest version among the peers' answers.
//
// It waits for all answers before it installs a table. Otherwise a host that starts in an
// outage would use the table of the first peer that answers, which may be older than the one
// that the host had before its restart.
func (follower *Follower) queryPeers(ctx context.Context) error {
	names := follower.choosePeers()
	sent := follower.Clock.Now()
	answers := make(chan peerAnswer, len(names))
	for _, name := range names {
		go func() { answers <- follower.queryPeer(ctx, name, versionOnly) }()
	}
	failures := []error{errors.New("table: no peer answered")}
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
	return follower.installFromPeers(ctx, newest, sent)
}

// installFromPeers installs the table from the first peer that returns it.
func (follower *Follower) installFromPeers(ctx context.Context, peers []peerAnswer, sent bvclock.Time) error {
	newest := peers[0].version
	known, _ := follower.VersionInForce()
	var failures []error
	for _, peer := range peers {
		if known >= newest {
			break
		}
		answer := follower.queryPeer(ctx, peer.name, known)
		if answer.table == nil {
			failures = append(failures, answer.err)
			continue
		}
		follower.install(answer.table)
		known, _ = follower.VersionInForce()
	}
	if known < newest {
		return fmt.Errorf("table: no peer returned version %d: %w", newest, errors.Join(failures...))
	}
	follower.confirm(newest, sent)
	return nil
}

type peerAnswer struct {
	name    string
	version int64
	table   *Table // nil unless newer than known
	err     error
}

func (follower *Follower) queryPeer(ctx context.Context, name string, known int64) peerAnswer {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Std())
	defer cancel()
	version, snapshot, err := follower.Peers.FetchSnapshot(ctx, name, known)
	if err != nil {
		return peerAnswer{err: fmt.Errorf("table: query host %s: %w", name, err)}
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
