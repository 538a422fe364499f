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

// Phases of a graceful stop: the host announces that it is leaving and continues to
// serve for leaveDelay, until the balancer and the other hosts have seen it.
const (
	leaveDelay      = 2 * bvclock.Second
	announceTimeout = 2 * bvclock.Second
	handoverTimeout = 5 * bvclock.Second
)

// Run serves until ctx ends, and then stops gracefully: requests in flight complete
// within the stop limit.
func (daemon *Daemon) Run(ctx context.Context) error {
	defer close(daemon.stopped)
	daemon.log.WithField("callers", daemon.CallerAddress()).
		WithField("operators", daemon.OperatorAddress()).
		WithField("peers", daemon.PeerAddress()).Info("serving")
	loops, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	group, groupContext := errgroup.WithContext(context.Background())
	group.Go(func() error {
		return ignoreServerClosed(daemon.serveHTTP(daemon.caller, daemon.listeners.caller, bvtls.SignedClients))
	})
	group.Go(func() error {
		return ignoreServerClosed(daemon.serveHTTP(daemon.operator, daemon.listeners.operator, bvtls.AnyClient))
	})
	group.Go(func() error { return daemon.peer.Serve(daemon.listeners.peer) })
	group.Go(func() error { daemon.committer.run(loops); return nil })
	group.Go(func() error { daemon.followHosts(loops); return nil })
	group.Go(func() error { daemon.followEndpoints(loops); return nil })
	group.Go(func() error { daemon.table.run(loops); return nil })
	group.Go(func() error { daemon.reclaimPrograms(loops); return nil })
	select {
	case <-ctx.Done():
	case <-groupContext.Done():
	}
	daemon.stop()
	stopLoops()
	daemon.peers.Close()
	return group.Wait()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop stops the daemon gracefully. The order matters: a host that closed its
// listeners before the others know that it is leaving would refuse calls that the
// balancer and the entries still send.
func (daemon *Daemon) stop() {
	daemon.log.Info("leaving")
	ctx, cancel := context.WithTimeout(context.Background(), daemon.settings.StopLimit().Std())
	defer cancel()
	daemon.ready.Store(false)
	daemon.owner.Leave()
	daemon.view.SetSelf(daemon.hostEntry(bvplatform.HostLeaving))
	if err := daemon.announce(ctx); err != nil {
		daemon.log.WithError(err).Warn("the stop could not be announced")
	}
	sleep(ctx, leaveDelay)
	_ = daemon.caller.Shutdown(ctx)
	daemon.waitForCalls(ctx)
	daemon.waitForHandover(ctx)
	daemon.committer.flush(ctx)
	daemon.stopPeers(ctx)
	_ = daemon.operator.Shutdown(ctx)
	daemon.flushTraces(ctx)
	daemon.log.Info("stopped")
}

func (daemon *Daemon) waitForCalls(ctx context.Context) {
	for !daemon.owner.IsIdle() {
		if ctx.Err() != nil {
			daemon.log.Warn("calls were still under way at the stop limit")
			return
		}
		sleep(ctx, flushPollInterval)
	}
}

// waitForHandover waits up to handoverTimeout until the programs are handed over.
// The remaining ones are taken over like the programs of a failed host.
func (daemon *Daemon) waitForHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout.Std())
	defer cancel()
	for ctx.Err() == nil && !daemon.owner.HasLeft() {
		sleep(ctx, flushPollInterval)
	}
}

func (daemon *Daemon) stopPeers(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		daemon.peer.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
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
	ctx, cancel := context.WithTimeout(ctx, announceTimeout.Std())
	defer cancel()
	return daemon.platform.Announce(ctx, daemon.view.Self())
}
