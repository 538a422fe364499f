package bvrouter

import (
	"context"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvroute"
)

const (
	// mostWait is the longest time between two looks at the list of endpoints,
	// and for which the platform holds a question for changes of the desired
	// state; it also bounds how long a connection can be silent unnoticed.
	mostWait = 1500 * bvclock.Millisecond
	// waitShare bounds the same by the time that the platform allows: a leaving
	// endpoint must get no calls within it.
	waitShare = 0.5
	// stateWaitShare is the same for a new desired state. Two waits must be over
	// while the host is still certain of the state: it is as old when an answer comes.
	stateWaitShare = 0.43
	// relayedStateShare is the same where the state comes through another host, whose own
	// wait comes before.
	relayedStateShare = 0.2
	// leastWait is the wait of a question whose answer is wanted at once.
	leastWait = 1 * bvclock.Millisecond
	// tidyInterval is the time between two looks at idle connections.
	tidyInterval = 1000 * bvclock.Millisecond
	// retryInterval is the pause after a failed call to the platform.
	retryInterval = 200 * bvclock.Millisecond
)

// waitWithin returns the time between two looks for what must be known within a
// bound.
func waitWithin(bound bvclock.Duration) bvclock.Duration {
	return min(mostWait, bvclock.Duration(float64(bound)*waitShare))
}

// stateWait returns the time for which the platform holds a question for changes of the
// desired state, which must be in force within a bound.
func stateWait(apply bvclock.Duration) bvclock.Duration {
	return min(mostWait, bvclock.Duration(float64(apply)*stateWaitShare))
}

// relayedStateWait is the same where most hosts ask another one.
func relayedStateWait(apply bvclock.Duration) bvclock.Duration {
	return min(mostWait, bvclock.Duration(float64(apply)*relayedStateShare))
}

// followRoutes keeps the desired state up to date.
func (router *Router) followRoutes(ctx context.Context) {
	lost := bvlog.Outage{What: "desired state", Log: router.log}
	after, early := int64(0), false
	for ctx.Err() == nil {
		asked := router.clock.Now()
		wait := router.state.nextWait(early)
		if known := router.sources(); known.large() {
			wait = min(wait, relayedStateWait(router.settings.Apply))
			if !known.reads() && router.routesOf(ctx, known.toAsk()) {
				lost.Note(nil)
				pause(ctx, relayedStateWait(router.settings.Apply)-router.clock.Now().Sub(asked))
				continue
			}
		}
		router.countStoreCall("await routes")
		question, release := router.store.untilRegained(ctx)
		table, next, err := router.parts.Platform.AwaitRoutes(question, after, wait)
		early = router.clock.Now().Sub(asked) < wait
		regained := question.Err() != nil
		release()
		if err != nil && regained {
			continue // the store is back, and that question was lost
		}
		lost.Note(unlessEnded(ctx, err))
		if err != nil {
			pause(ctx, retryInterval)
			continue
		}
		if table == nil && next == 0 {
			pause(ctx, retryInterval) // no desired state was written yet
			continue
		}
		after = next
		if table != nil {
			router.apply(table)
		}
		router.state.noteConfirmed(asked)
	}
}

func (router *Router) apply(table *bvroute.Table) {
	if router.state.replace(table) {
		router.setCaps(table)
		router.endpointsMutex.Lock()
		router.spreadEndpoints(router.endpoints.all())
		router.endpointsMutex.Unlock()
		router.log.WithFields(logrus.Fields{
			"version": table.Version(), "routes": table.RouteCount(), "workspaces": len(table.Workspaces()),
		}).Info("desired state in force")
		if shared := table.SharedKeyCount(); shared > 0 {
			router.log.WithField("keys", shared).Warn("keys are listed by several workspaces; the first one holds them")
		}
	}
}

// tidy closes connections that were idle for too long.
func (router *Router) tidy(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, tidyInterval)
		router.server.CloseIdle()
		router.connections.Expire()
	}
}

// tidyBudgetsInterval is short beside the pause after which unspent tokens are
// given back.
const tidyBudgetsInterval = 200 * bvclock.Millisecond

func (router *Router) tidyBudgets(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, tidyBudgetsInterval)
		router.budgets.ReleaseIdle(ctx)
	}
}

// sweepInterval is the time between two looks for rows that hosts left behind.
// Each looks at one part of a table, drawn at random.
const sweepInterval = 30 * bvclock.Second

func (router *Router) sweep(ctx context.Context) {
	for {
		pause(ctx, sweepInterval)
		if ctx.Err() != nil {
			return
		}
		router.noteSweep(router.budgets.Sweep(ctx))
		router.noteSweep(router.histories.Sweep(ctx))
	}
}

func (router *Router) noteSweep(removed int, err error) {
	router.counters.Add("rows_swept", int64(removed))
	if err != nil {
		router.log.WithError(err).Debug("rows not swept; a later look finds them")
	}
}

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, duration bvclock.Duration) {
	timer := bvclock.After(duration)
	select {
	case <-timer:
	case <-ctx.Done():
	}
}

// unlessEnded drops the error of a call that the end of the process cut short.
func unlessEnded(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
