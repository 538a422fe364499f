package bvpermit

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvpeer"
)

// maxSuspectReceivers is how many of the hosts next in line to decide for a pool
// receive its suspects.
const maxSuspectReceivers = 2

// sendTimeout bounds how long a suspect waits until other hosts have received its
// crashes.
const sendTimeout = 500 * bvclock.Millisecond

// Suspects returns the suspects of a pool.
func (server *Server) Suspects(name string) []bvgate.Suspect {
	var suspects []bvgate.Suspect
	pool := server.pool(name)
	pool.apply(func(now bvclock.Time) { suspects = pool.decisions.Suspects(now) })
	return suspects
}

// AddSuspects adds the suspects received from another host.
func (server *Server) AddSuspects(received *bvpeer.Suspects) {
	suspects := make([]bvgate.Suspect, 0, len(received.GetSuspects()))
	for _, suspect := range received.GetSuspects() {
		suspects = append(suspects, bvgate.Suspect{
			Member:      suspect.GetMember(),
			Fingerprint: suspect.GetFingerprint(),
			Crashes:     int(suspect.GetCrashes()),
			ExpiresIn:   bvclock.Duration(suspect.GetLeftMs()),
		})
	}
	pool := server.pool(received.GetPool())
	pool.apply(func(now bvclock.Time) { pool.decisions.AddSuspects(now, suspects) })
}

// poolNames returns the pools for which this host has received requests.
func (server *Server) poolNames() []string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	names := make([]string, 0, len(server.pools))
	for name := range server.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// sendNewSuspects sends suspects to the hosts that would decide next if there were
// suspect crashes since the last time.
func (server *Server) sendNewSuspects(ctx context.Context, name string) {
	if server.sendSuspects == nil {
		return
	}
	pool := server.pool(name)
	pool.sendMutex.Lock()
	defer pool.sendMutex.Unlock()
	crashes := pool.suspectCrashes()
	if crashes == pool.sentCrashes {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout.Std())
	defer cancel()
	server.sendSuspects(ctx, name)
	pool.sentCrashes = crashes
}

// sendBeforeRun delays a suspect until the hosts that would decide next have received
// its crashes.
//
// It guards against a suspect that crashes one more endpoint after each loss of the
// deciding host.
func (server *Server) sendBeforeRun(ctx context.Context, request *bvpeer.PermitAsk) {
	if server.pool(request.GetPool()).isSuspect(request) {
		server.sendNewSuspects(ctx, request.GetPool())
	}
}

func (pool *pool) isSuspect(request *bvpeer.PermitAsk) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.decisions.IsSuspect(request.GetMember(), request.GetFingerprint())
}

func (pool *pool) suspectCrashes() uint64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.decisions.SuspectCrashes()
}

// ShareSuspects sends this host's suspects to the hosts that would decide next. It
// reaches hosts that were unreachable, or not yet next, at the time of a crash.
func (client *Client) ShareSuspects(ctx context.Context) {
	for _, name := range client.local.poolNames() {
		client.sendSuspects(ctx, name)
	}
}

// SuspectsSent returns how many times another host has accepted this host's suspects.
func (client *Client) SuspectsSent() int64 { return client.suspectsSent.Load() }

// sendSuspects sends one pool's suspects to the hosts that would decide next. Only the
// deciding host sends them; otherwise a suspect that it has cleared would be sent back
// to it.
func (client *Client) sendSuspects(ctx context.Context, pool string) {
	candidates := client.view.Candidates(client.clock.Now(), "pool/"+pool)
	if candidates[0].Name != client.view.Self().Name {
		return
	}
	suspects := client.local.Suspects(pool)
	if len(suspects) == 0 {
		return
	}
	var group errgroup.Group
	for _, host := range candidates[1:min(len(candidates), maxSuspectReceivers+1)] {
		group.Go(func() error {
			peer, err := client.peers.Peer(host.PeerAddress)
			if err != nil {
				return err
			}
			if _, err := peer.ShareSuspects(ctx, messageOf(pool, suspects)); err != nil {
				return err
			}
			client.suspectsSent.Add(1)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		client.log.WithError(err).WithField("pool", pool).Debug("suspects could not be sent to a host; retrying at the next poll")
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
