package bvrouter

import (
	"context"
	"fmt"

	"balsamvalve.example/bvclock"
)

const (
	// leaveTime is how long a leaving host goes on accepting connections. The
	// balancer asks every second and sends nobody after two misses.
	acceptTime = 2500 * bvclock.Millisecond
	// leaveShare is the most of the allowed time that this may take: what is
	// in flight then needs the rest.
	maxAcceptShare = 0.35
	// stopMargin is kept between the end of a graceful stop and the moment at
	// which the process would be killed, as a share of the allowed time.
	stopMargin = 0.06
	// giveUpTime bounds how long a leaving host gives back budgets.
	releaseTimeout = 500 * bvclock.Millisecond
	// retireTime bounds the one write after that.
	retireTimeout = 300 * bvclock.Millisecond
)

// leave stops without cutting off a request: first the balancer is told, and
// answers ask callers to close their connections; then idle connections are
// closed, and what is in flight is finished.
func (router *Router) leave() error {
	router.log.Info("leaving: no longer ready")
	router.leaving.Store(true)
	router.front.Leave()
	start := router.clock.Now()
	stop := float64(router.current.Load().Stop)
	accepting := min(acceptTime, bvclock.Duration(stop*maxAcceptShare))
	bvclock.Sleep(accepting)
	_ = router.callers.Close() // an error would mean that it is closed already
	limit := bvclock.Duration(stop*(1-stopMargin)) - router.clock.Now().Sub(start)
	ctx, cancel := context.WithTimeout(context.Background(), limit.Std())
	defer cancel()
	if err := router.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("router: requests were cut off after %v: %w", limit, err)
	}
	callWithTimeout(ctx, releaseTimeout, router.budgets.ReleaseUnspent)
	callWithTimeout(ctx, retireTimeout, router.retire)
	return nil
}

// within calls a function with a bound on its time.
func callWithTimeout(ctx context.Context, limit bvclock.Duration, call func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, limit.Std())
	defer cancel()
	call(ctx)
}
