package bvrouter

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// A host starts with a part of a large list, so that it serves soon and the full list need
// not be read from the store by each host. The full list is read beside the loop that follows
// the list, which keeps the partial one up to date meanwhile.

// startingList is the state of a host that has no full list yet. It is used by
// followEndpoints only.
type startingList struct {
	partialNext int64        // change sequence number of the partial list; 0: it is not followed
	partialAsOf bvclock.Time // when the partial list was last known to be complete
	fullRead    chan listRead
}

// listRead is the result of a read of the full list.
type listRead struct {
	answer endpointAnswer
	err    error
}

// queryFullList requests the list if this host has none yet: first a part of it, then its
// changes, until the full list is there.
func (router *Router) queryFullList(ctx context.Context) (endpointAnswer, error) {
	if !router.endpointsKnown.Load() {
		return router.queryFirstList(ctx)
	}
	starting := &router.starting
	refreshAt := starting.partialAsOf.Add(shareOf(router.settings.DrainBound, followerPollShare))
	if now := router.clock.Now(); !now.Before(refreshAt) {
		if answer, err := router.refreshPartialList(ctx); answer.changes.Next != 0 {
			return answer, err
		}
		refreshAt = now.Add(retryInterval)
	}
	if starting.fullRead == nil && !router.startFullRead(ctx) {
		return endpointAnswer{}, errNoSource // whether the fleet is large is not known yet
	}
	select {
	case read := <-starting.fullRead:
		starting.fullRead = nil
		return read.answer, read.err
	case <-bvclock.After(refreshAt.Sub(router.clock.Now())):
		return endpointAnswer{}, errNoSource
	}
}

// queryFirstList reads a part of the list, or the full list of another host if the store does
// not answer. It does not read the full list from the store, which takes longer: if the store
// is slow since many hosts start, it would become slower.
func (router *Router) queryFirstList(ctx context.Context) (endpointAnswer, error) {
	answer, err := router.queryPartialList(ctx)
	if !isUnanswered(ctx, answer, err) {
		return answer, err
	}
	if relayed, relayErr := router.queryHosts(ctx, router.relays(), 0); relayErr == nil {
		return relayed, nil
	}
	return answer, err
}

// queryPartialList reads a part of the list from the store, or all of a short one.
func (router *Router) queryPartialList(ctx context.Context) (endpointAnswer, error) {
	requestedAt := router.clock.Now()
	changes, err := router.store.FirstEndpoints(ctx, maxDirectEndpoints)
	return router.partialAnswer(requestedAt, changes), err
}

// refreshPartialList requests the changes of the partial list from the store, or reads the
// list again if it can't be followed.
func (router *Router) refreshPartialList(ctx context.Context) (endpointAnswer, error) {
	requestedAt := router.clock.Now()
	grace := pollGrace(router.settings.DrainBound, router.store.averageAnswerTime())
	changes, err := router.store.AwaitEndpoints(ctx, router.starting.partialNext, minWait, grace)
	if changes.Next == 0 {
		return router.queryPartialList(ctx)
	}
	return router.partialAnswer(requestedAt, changes), err
}

// partialAnswer records an answer about the partial list. It may have the full list, if that
// is short or the store no longer has the changes.
func (router *Router) partialAnswer(requestedAt bvclock.Time, changes bvplatform.EndpointChanges) endpointAnswer {
	if changes.Next != 0 {
		router.starting.partialNext, router.starting.partialAsOf = changes.Next, requestedAt
	}
	return endpointAnswer{changes: changes, asOf: requestedAt, requestedAt: requestedAt, partial: !changes.Whole}
}

// startFullRead starts to read the full list, from the hosts that read for others if this is
// none of them. It returns false if the list of hosts is not known yet.
func (router *Router) startFullRead(ctx context.Context) bool {
	fleet, age := router.fleet(), router.clock.Now().Sub(router.started)
	if router.hosts.Load() == nil && age < fullListWait {
		return false
	}
	read := func() (endpointAnswer, error) { return router.queryStore(ctx, 0, minWait) }
	if fleet.isLarge() && !fleet.isReader() && age < fullListWait {
		sources := append(fleet.randomHosts(), fleet.readers()...)
		read = func() (endpointAnswer, error) { return router.queryHostsForFullList(ctx, sources) }
	}
	result := make(chan listRead, 1)
	router.starting.fullRead = result
	go func() {
		answer, err := read()
		if answer.changes.Next != 0 {
			answer, err = router.catchUp(ctx, answer)
		}
		result <- listRead{answer, err}
	}()
	return true
}

// catchUp applies the changes that were made while a full list was transferred. Without them,
// endpoints that have left meanwhile would be in use until the next request.
func (router *Router) catchUp(ctx context.Context, full endpointAnswer) (endpointAnswer, error) {
	requestedAt := router.clock.Now()
	recent, err := router.queryStore(ctx, full.changes.Next, minWait)
	if recent.changes.Next == 0 {
		return endpointAnswer{}, err
	}
	var list endpointList
	list.update(requestedAt, full.changes)
	list.update(requestedAt, recent.changes)
	full.changes = bvplatform.EndpointChanges{Whole: true, Listed: list.all(), Next: list.next}
	full.asOf, full.requestedAt = recent.asOf, requestedAt
	return full, err
}
