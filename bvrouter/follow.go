package bvrouter

import (
	"context"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvroute"
)

const (
	// cleanupInterval is the time between two checks for idle connections.
	cleanupInterval = 1000 * bvclock.Millisecond
	// retryInterval is the pause after a failed call to the platform.
	retryInterval = 200 * bvclock.Millisecond
)

// followRoutes keeps the desired state up to date.
func (router *Router) followRoutes(ctx context.Context) {
	outage := bvlog.Outage{Dependency: "desired state", Log: router.log}
	after, answeredEarly, failures := int64(0), false, 0
	for ctx.Err() == nil {
		requestedAt := router.clock.Now()
		wait := router.state.nextWait(answeredEarly)
		if failures > 0 {
			wait = minWait
		}
		if fleet := router.fleet(); fleet.isLarge() {
			wait = min(wait, shareOf(router.settings.ApplyBound, readerPollShare))
			if !fleet.isReader() && router.refreshRoutesInTime(ctx, fleet.readers()) {
				outage.Record(nil)
				pause(ctx, shareOf(router.settings.ApplyBound, followerStateShare)-router.clock.Now().Sub(requestedAt))
				continue
			}
		}
		router.countStoreCall("await routes")
		queryCtx, release := router.store.untilRegained(ctx)
		table, next, err := router.parts.Platform.AwaitRoutes(queryCtx, after, wait, pollGrace(router.settings.ApplyBound, router.store.averageAnswerTime()))
		answeredEarly = router.clock.Now().Sub(requestedAt) < wait
		regained := queryCtx.Err() != nil
		release()
		if err != nil && regained {
			continue // the store is reachable again, and never answers this request
		}
		if err != nil {
			failures++
			if failures > 1 { // a connection that has become silent fails one request
				outage.Record(unlessCanceled(ctx, err))
				pause(ctx, retryInterval)
			}
			continue
		}
		failures = 0
		outage.Record(nil)
		if table == nil && next == 0 {
			pause(ctx, retryInterval) // no desired state has been written yet
			continue
		}
		after = next
		if table != nil {
			router.applyTable(table)
		}
		router.state.recordConfirmation(requestedAt)
	}
}

func (router *Router) applyTable(table *bvroute.Table) {
	if router.state.replace(table) {
		router.setCaps(table)
		router.endpointsMutex.Lock()
		router.setEndpoints(router.endpoints.all())
		router.endpointsMutex.Unlock()
		router.log.WithFields(logrus.Fields{
			"version": table.Version(), "routes": table.RouteCount(), "workspaces": len(table.Workspaces()),
		}).Info("desired state in force")
		if shared := table.SharedKeyCount(); shared > 0 {
			router.log.WithField("keys", shared).Warn("keys are listed by several workspaces; the first one holds them")
		}
	}
}

// closeIdleConnections closes connections that have been idle for too long.
func (router *Router) closeIdleConnections(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, cleanupInterval)
		router.server.CloseIdle()
		router.connections.Expire()
		if !router.server.Accepts() {
			router.connections.Close() // frees descriptors for callers
		}
	}
}

// releaseInterval is short compared with the idle time after which unspent tokens are
// released.
const releaseInterval = 200 * bvclock.Millisecond

func (router *Router) releaseIdleBudgets(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, releaseInterval)
		router.budgets.ReleaseIdle(ctx)
	}
}

// sweepInterval is the time between two sweeps for rows that hosts left behind. Each
// sweep scans one randomly selected part of a table.
const sweepInterval = 30 * bvclock.Second

func (router *Router) sweep(ctx context.Context) {
	for {
		pause(ctx, sweepInterval)
		if ctx.Err() != nil {
			return
		}
		router.recordSweep(router.budgets.Sweep(ctx))
		router.recordSweep(router.histories.Sweep(ctx))
	}
}

func (router *Router) recordSweep(removed int, err error) {
	router.counters.Add("rows_swept", int64(removed))
	if err != nil {
		router.log.WithError(err).Debug("rows not swept; a later sweep finds them")
	}
}

// pause waits, or returns early if ctx is canceled.
func pause(ctx context.Context, duration bvclock.Duration) {
	timer := bvclock.After(duration)
	select {
	case <-timer:
	case <-ctx.Done():
	}
}

// unlessCanceled drops the error of a call that was aborted because the process stops.
func unlessCanceled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
