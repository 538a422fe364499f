package bvpermit

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvpeer"
)

// suspectHosts is how many of the hosts that would decide for a pool next are
// told of its suspects.
const suspectHosts = 2

// tellTimeout bounds how long a suspect waits until other hosts know of it.
const tellTimeout = 500 * bvclock.Millisecond

// Suspects returns the suspects of a pool.
func (server *Server) Suspects(name string) []bvgate.Suspect {
	var suspects []bvgate.Suspect
	pool := server.pool(name)
	pool.do(func(now bvclock.Time) { suspects = pool.decisions.Suspects(now) })
	return suspects
}

// AddSuspects takes in what another host has seen.
func (server *Server) AddSuspects(told *bvpeer.Suspects) {
	suspects := make([]bvgate.Suspect, 0, len(told.GetSuspects()))
	for _, suspect := range told.GetSuspects() {
		suspects = append(suspects, bvgate.Suspect{
			Member:      suspect.GetMember(),
			Fingerprint: suspect.GetFingerprint(),
			Crashes:     int(suspect.GetCrashes()),
			ExpiresIn:   bvclock.Duration(suspect.GetLeftMs()),
		})
	}
	pool := server.pool(told.GetPool())
	pool.do(func(now bvclock.Time) { pool.decisions.AddSuspects(now, suspects) })
}

// names returns the pools that this host was asked for.
func (server *Server) names() []string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	names := make([]string, 0, len(server.pools))
	for name := range server.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// tellSuspects tells the hosts that would decide next of crashes that they have
// not been told of.
func (server *Server) tellSuspects(ctx context.Context, name string) {
	if server.share == nil {
		return
	}
	pool := server.pool(name)
	pool.telling.Lock()
	defer pool.telling.Unlock()
	crashes := pool.suspectedCrashes()
	if crashes == pool.told {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout.Std())
	defer cancel()
	server.share(ctx, name)
	pool.told = crashes
}

// tellBefore holds a suspect back until the hosts that would decide next know
// of its crashes.
//
// It guards against a suspect that crashes one more endpoint after each loss
// of the deciding host.
func (server *Server) tellBefore(ctx context.Context, ask *bvpeer.PermitAsk) {
	if server.pool(ask.GetPool()).suspected(ask) {
		server.tellSuspects(ctx, ask.GetPool())
	}
}

func (pool *pool) suspected(ask *bvpeer.PermitAsk) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.decisions.IsSuspect(ask.GetMember(), ask.GetFingerprint())
}

func (pool *pool) suspectedCrashes() uint64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.decisions.SuspectCrashes()
}

// ShareSuspects tells the hosts that would decide next of this host's suspects.
// It reaches those that were lost, or not yet next, when a crash was seen.
func (client *Client) ShareSuspects(ctx context.Context) {
	for _, name := range client.local.names() {
		client.share(ctx, name)
	}
}

// SuspectsTold returns how many times a host took this host's suspects.
func (client *Client) SuspectsSent() int64 { return client.told.Load() }

// share tells the hosts that would decide next of one pool's suspects. Only
// the host that decides tells, or a suspect that it has cleared would come back
// to it.
func (client *Client) share(ctx context.Context, pool string) {
	candidates := client.view.Candidates(client.clock.Now(), "pool/"+pool)
	if candidates[0].Name != client.view.Self().Name {
		return
	}
	suspects := client.local.Suspects(pool)
	if len(suspects) == 0 {
		return
	}
	var group errgroup.Group
	for _, host := range candidates[1:min(len(candidates), suspectHosts+1)] {
		group.Go(func() error {
			peer, err := client.peers.Peer(host.PeerAddress)
			if err != nil {
				return err
			}
			if _, err := peer.ShareSuspects(ctx, messageOf(pool, suspects)); err != nil {
				return err
			}
			client.told.Add(1)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		client.log.WithError(err).WithField("pool", pool).Debug("a host was not told of suspects; it is told at the next poll")
	}
}

func messageOf(pool string, suspects []bvgate.Suspect) *bvpeer.Suspects {
	message := &bvpeer.Suspects{Pool: pool}
	for _, suspect := range suspects {
		message.Suspects = append(message.Suspects, &bvpeer.Suspect{
			Member:      suspect.Member,
			Fingerprint: suspect.Fingerprint,
			Crashes:     int32(suspect.Crashes),
			LeftMs:      int64(suspect.ExpiresIn),
		})
	}
	return message
}
