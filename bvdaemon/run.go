package bvdaemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvtls"
)

// How a planned stop goes: first the host says that it is leaving, then it
// goes on serving until the balancer and the other hosts have seen it.
const (
	leaveTime    = 2 * bvclock.Second
	announceTime = 2 * bvclock.Second
	handoverTime = 5 * bvclock.Second
)

// Run serves until ctx ends, and then stops without cutting off a request.
func (daemon *Daemon) Run(ctx context.Context) error {
	defer close(daemon.stopped)
	daemon.log.WithField("callers", daemon.CallerAddress()).
		WithField("operators", daemon.OperatorAddress()).
		WithField("peers", daemon.PeerAddress()).Info("serving")
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	group, groupContext := errgroup.WithContext(context.Background())
	group.Go(func() error {
		return serve(daemon.serveHTTP(daemon.caller, daemon.listeners.caller, bvtls.SignedClients))
	})
	group.Go(func() error {
		return serve(daemon.serveHTTP(daemon.operator, daemon.listeners.operator, bvtls.AnyClient))
	})
	group.Go(func() error { return daemon.peer.Serve(daemon.listeners.peer) })
	group.Go(func() error { daemon.commits.run(loops); return nil })
	group.Go(func() error { daemon.follow(loops); return nil })
	group.Go(func() error { daemon.table.run(loops); return nil })
	group.Go(func() error { daemon.reclaim(loops); return nil })
	select {
	case <-ctx.Done():
	case <-groupContext.Done():
	}
	daemon.stop()
	stopLoops()
	daemon.peers.Close()
	return group.Wait()
}

func serve(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop is the graceful stop. The order matters: a host that closed its ports
// before the others knew of it would refuse calls that the balancer and the
// entries still send.
func (daemon *Daemon) stop() {
	daemon.log.Info("leaving")
	limit, cancel := context.WithTimeout(context.Background(), daemon.settings.StopLimit().Std())
	defer cancel()
	daemon.ready.Store(false)
	daemon.owner.Leave()
	daemon.view.SetSelf(daemon.self(bvplatform.HostLeaving))
	if err := daemon.announce(limit); err != nil {
		daemon.log.WithError(err).Warn("the stop could not be announced")
	}
	sleep(limit, leaveTime)
	_ = daemon.caller.Shutdown(limit)
	daemon.waitForCalls(limit)
	daemon.waitForHandover(limit)
	daemon.commits.flush(limit)
	daemon.stopPeers(limit)
	_ = daemon.operator.Shutdown(limit)
	daemon.flushTraces(limit)
	daemon.log.Info("stopped")
}

func (daemon *Daemon) waitForCalls(limit context.Context) {
	for !daemon.owner.IsIdle() {
		if limit.Err() != nil {
			daemon.log.Warn("calls were still under way at the stop limit")
			return
		}
		sleep(limit, flushPoll)
	}
}

// waitForHandover waits, within a bound, until the programs are handed over.
// What is left is taken over like the programs of a host that died.
func (daemon *Daemon) waitForHandover(limit context.Context) {
	limit, cancel := context.WithTimeout(limit, handoverTime.Std())
	defer cancel()
	for limit.Err() == nil && !daemon.owner.HasLeft() {
		sleep(limit, flushPoll)
	}
}

func (daemon *Daemon) stopPeers(limit context.Context) {
	done := make(chan struct{})
	go func() {
		daemon.peer.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-limit.Done():
		daemon.peer.Stop()
	}
}

func sleep(ctx context.Context, duration bvclock.Duration) {
	select {
	case <-time.After(duration.Std()):
	case <-ctx.Done():
	}
}

func (daemon *Daemon) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTime.Std())
	defer cancel()
	return daemon.platform.Announce(ctx, daemon.view.Self())
}
