package bvrouter

import (
	"context"
	"fmt"
	"time"

	"balsamvalve.example/bvclock"
)

const (
	// acceptTime is how long a leaving host continues to accept connections. The balancer
	// checks readiness every second and stops sending callers after two failed checks.
	acceptTime = 2500 * bvclock.Millisecond
	// maxAcceptShare bounds acceptTime as a share of the allowed stop time: the requests
	// then in flight need the rest.
	maxAcceptShare = 0.35
	// stopMargin is the margin between the end of a graceful stop and the time at which
	// the process would be killed, as a share of the allowed time.
	stopMargin = 0.06
	// endMargin is the margin between the end of calls that are still in flight and the end of
	// the stop, as a share of the allowed time: their callers get an answer meanwhile.
	endMargin = 0.04
	// releaseTimeout bounds the release of unspent budgets by a leaving host.
	releaseTimeout = 500 * bvclock.Millisecond
	// retireTimeout bounds the single write after that.
	retireTimeout = 300 * bvclock.Millisecond
)

// leave stops without aborting requests: first this host reports itself as not ready to the
// balancer, and answers ask callers to close their connections; then idle connections are
// closed, and requests in flight are completed. Requests that come then and may last longer than the
// host does are refused.
func (router *Router) leave() error {
	router.log.Info("leaving: no longer ready")
	router.leaving.Store(true)
	router.front.Leave()
	start := router.clock.Now()
	stop := float64(router.current.Load().StopBound)
	accepting := min(acceptTime, bvclock.Duration(stop*maxAcceptShare))
	bvclock.Sleep(accepting)
	_ = router.callers.Close() // fails only if it is already closed
	limit := bvclock.Duration(stop*(1-stopMargin)) - router.clock.Now().Sub(start)
	ctx, cancel := context.WithTimeout(context.Background(), limit.Std())
	defer cancel()
	callLimit := limit - bvclock.Duration(stop*endMargin)
	router.front.EndAt(router.clock.Now().Add(callLimit))
	ending := time.AfterFunc(callLimit.Std(), func() {
		router.log.WithField("connections", router.server.OpenConnections()).Warn("calls in flight end before their deadline")
		router.front.End()
	})
	defer ending.Stop()
	if err := router.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("router: requests were cut off after %v: %w", limit, err)
	}
	callWithTimeout(ctx, releaseTimeout, router.budgets.ReleaseUnspent)
	callWithTimeout(ctx, retireTimeout, router.retire)
	return nil
}

// callWithTimeout calls a function with a timeout.
func callWithTimeout(ctx context.Context, limit bvclock.Duration, call func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, limit.Std())
	defer cancel()
	call(ctx)
}
