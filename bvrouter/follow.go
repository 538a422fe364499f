package bvrouter

import (
	"context"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvroute"
)

const (
	// maxWait is the maximum time between two polls of the list of endpoints, and the
	// maximum wait of a request to the platform for changes of the desired state. It also
	// bounds how long a dead connection goes unnoticed.
	maxWait = 1500 * bvclock.Millisecond
	// waitShare bounds the same as a share of the drain bound: a leaving endpoint must get
	// no more calls when that has passed.
	waitShare = 0.5
	// stateWaitShare is the same for a new desired state. Two waits must fit into the time
	// for which the state counts as up to date: it gets that old before an answer arrives.
	stateWaitShare = 0.43
	// relayedStateShare is the same if the state comes from another host, whose own wait
	// adds to it.
	relayedStateShare = 0.2
	// pollGraceShare is how long after its wait a request for changes may be answered, as a
	// share of the bound on what it reads: a wait, the grace and a second request without a
	// wait must fit into the bound.
	pollGraceShare = 0.15
	// pollGraceFactor is the same as a multiple of the average duration of calls.
	pollGraceFactor = 3
	maxPollGrace    = 1500 * bvclock.Millisecond
	// minWait is the wait of a request that should be answered immediately.
	minWait = 1 * bvclock.Millisecond
	// cleanupInterval is the time between two checks for idle connections.
	cleanupInterval = 1000 * bvclock.Millisecond
	// retryInterval is the pause after a failed call to the platform.
	retryInterval = 200 * bvclock.Millisecond
)

// pollInterval returns the time between two polls for changes that must be known within a
// bound.
func pollInterval(bound bvclock.Duration) bvclock.Duration {
	return min(maxWait, bvclock.Duration(float64(bound)*waitShare))
}

// pollGrace returns how long after its wait a request for changes may be answered, if they
// must be known within a bound. It allows for a slow store, whose calls take a certain time
// on average.
func pollGrace(bound, averageAnswerTime bvclock.Duration) bvclock.Duration {
	grace := max(bvclock.Duration(pollGraceShare*float64(bound)), pollGraceFactor*averageAnswerTime)
	return min(grace, maxPollGrace)
}

// stateWait returns how long the platform holds a request for changes of the desired
// state, which must be in force within a bound.
func stateWait(apply bvclock.Duration) bvclock.Duration {
	return min(maxWait, bvclock.Duration(float64(apply)*stateWaitShare))
}

// relayedStateWait is the same in a fleet where most hosts query another host.
func relayedStateWait(apply bvclock.Duration) bvclock.Duration {
	return min(maxWait, bvclock.Duration(float64(apply)*relayedStateShare))
}

// followRoutes keeps the desired state up to date.
func (router *Router) followRoutes(ctx context.Context) {
	outage := bvlog.Outage{Dependency: "desired state", Log: router.log}
	after, answeredEarly := int64(0), false
	for ctx.Err() == nil {
		requestedAt := router.clock.Now()
		wait := router.state.nextWait(answeredEarly)
		if fleet := router.fleet(); fleet.isLarge() {
			wait = min(wait, relayedStateWait(router.settings.ApplyBound))
			if !fleet.isReader() && router.refreshRoutesInTime(ctx, fleet.candidates()) {
				outage.Record(nil)
				pause(ctx, relayedStateWait(router.settings.ApplyBound)-router.clock.Now().Sub(requestedAt))
				continue
			}
		}
		router.countStoreCall("await routes")
		queryCtx, release := router.store.untilRegained(ctx)
		table, next, err := router.parts.Platform.AwaitRoutes(queryCtx, after, wait, maxPollGrace)
		answeredEarly = router.clock.Now().Sub(requestedAt) < wait
		regained := queryCtx.Err() != nil
		release()
		if err != nil && regained {
			continue // the store is reachable again, and never answers this request
		}
		outage.Record(unlessCanceled(ctx, err))
		if err != nil {
			pause(ctx, retryInterval)
			continue
		}
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
