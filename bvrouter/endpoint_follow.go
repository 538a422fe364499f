package bvrouter

import (
	"context"
	"errors"
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvplatform"
)

const (
	// firstReadDelay is how long after the first start of the system the list of
	// endpoints is first read. Endpoints register within that time; each one that
	// registers later is sent to each host separately.
	firstReadDelay = 2500 * bvclock.Millisecond
	// fullListWait is how long after its start a host tries to get another host's full
	// list, while it serves with a partial one that it keeps up to date.
	fullListWait = 10 * bvclock.Second
)

// followEndpoints keeps the list of endpoints up to date. It requests only changes, since
// the full list is large if there are many endpoints.
func (router *Router) followEndpoints(ctx context.Context) {
	outage := bvlog.Outage{Dependency: "list of endpoints", Log: router.log}
	if router.settings.FirstStart {
		pause(ctx, firstReadDelay-router.clock.Now().Sub(router.started))
	}
	var pace pollPace
	for ctx.Err() == nil {
		requestedAt, interval := router.clock.Now(), router.endpointPollInterval()
		wait := pace.nextWait(interval)
		isReread := router.hasFailedRead() || !router.store.isReachable()
		if isReread {
			wait = minWait // the answer separates the changes of an outage from those after it
		}
		answer, err := router.queryEndpoints(ctx, wait)
		switch {
		case errors.Is(err, errRegained):
			router.logFailedRead(requestedAt, err)
			router.recordFailedRead()
			continue
		case errors.Is(err, errNoSource):
			pause(ctx, retryInterval)
			continue
		case answer.changes.Next == 0:
			outage.Record(unlessCanceled(ctx, err))
			router.recordListOutage()
			pause(ctx, retryInterval)
			continue
		}
		outage.Record(nil)
		if err != nil {
			router.log.WithError(err).WithField("endpoints", answer.changes.Unusable).Warn("entries of the list of endpoints can't be used")
		}
		router.applyEndpoints(answer)
		elapsed := router.clock.Now().Sub(requestedAt)
		switch {
		case answer.partial: // queryFullList waits for the full list
		case answer.isRelayed():
			pause(ctx, interval-elapsed)
		case !answer.changes.IsEmpty():
			pause(ctx, pace.pauseAfterChange(interval, elapsed, router.listedCount()))
		case !isReread:
			pause(ctx, pace.pauseAfterNoChange(interval, elapsed))
		}
	}
}

// hasFailedRead reports whether a read of the list has failed since the last answer.
func (router *Router) hasFailedRead() bool {
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	return router.endpoints.readFailed
}

// endpointPollInterval returns the time between two requests for changes. In a large fleet,
// the interval of the host that reads for this one adds to this host's own.
func (router *Router) endpointPollInterval() bvclock.Duration {
	interval := pollInterval(router.settings.DrainBound)
	fleet := router.fleet()
	switch {
	case !fleet.isLarge():
		return interval
	case fleet.isReader():
		return min(interval, shareOf(router.settings.DrainBound, readerPollShare))
	}
	return min(interval, shareOf(router.settings.DrainBound, followerPollShare))
}

// endpointAnswer is an answer about the list of endpoints.
type endpointAnswer struct {
	changes     bvplatform.EndpointChanges
	asOf        bvclock.Time // the list may have changed since then
	requestedAt bvclock.Time
	relayedBy   string           // address of the host that it comes from; empty: the store
	partial     bool             // a part of the list only, or its changes
	listAge     bvclock.Duration // age of this host's list before the answer
}

func (answer endpointAnswer) isRelayed() bool { return answer.relayedBy != "" }

// source names where the answer comes from, for the log.
func (answer endpointAnswer) source() string {
	if answer.isRelayed() {
		return answer.relayedBy
	}
	return "store"
}

// queryEndpoints requests changes of the list: in a large fleet from other hosts, and
// otherwise, or if they fail, from the store or a host that reaches it.
func (router *Router) queryEndpoints(ctx context.Context, wait bvclock.Duration) (endpointAnswer, error) {
	after := router.endpointsNext()
	if after == 0 {
		return router.queryFullList(ctx)
	}
	fleet := router.fleet()
	if fleet.isLarge() && router.listedCount() > maxDirectEndpoints && !fleet.isReader() {
		if answer, err := router.queryHostsForChanges(ctx, fleet.readers(), after, maxFollowedAgeShare); err == nil {
			return answer, nil
		}
	}
	return router.queryStore(ctx, after, wait)
}

// queryStore queries the store, or hosts that reach it if it does not answer this one. A
// request that gets no answer is repeated once without a wait if the store answers others: its
// connection may have become silent, while a new one works.
func (router *Router) queryStore(ctx context.Context, after int64, wait bvclock.Duration) (endpointAnswer, error) {
	answer, err := router.readStore(ctx, after, wait)
	if isUnanswered(ctx, answer, err) && after != 0 && router.store.isReachable() {
		answer, err = router.readStore(ctx, after, minWait)
	}
	if isUnanswered(ctx, answer, err) {
		if relayed, relayErr := router.queryHosts(ctx, router.relays(), after); relayErr == nil {
			return relayed, nil
		}
	}
	return answer, err
}

// readStore requests the changes after a sequence number from the store.
func (router *Router) readStore(ctx context.Context, after int64, wait bvclock.Duration) (endpointAnswer, error) {
	requestedAt := router.clock.Now()
	grace := pollGrace(router.settings.DrainBound, router.store.averageAnswerTime())
	changes, err := router.store.AwaitEndpoints(ctx, after, wait, grace)
	answer := endpointAnswer{changes: changes, asOf: asOfTime(requestedAt, router.clock.Now(), wait, changes), requestedAt: requestedAt}
	if isUnanswered(ctx, answer, err) {
		router.logFailedRead(requestedAt, err)
		router.recordFailedRead()
	}
	return answer, err
}

// isUnanswered reports whether a request to the store failed, and not only because it was
// canceled.
func isUnanswered(ctx context.Context, answer endpointAnswer, err error) bool {
	return answer.changes.Next == 0 && !errors.Is(err, errRegained) && ctx.Err() == nil
}

// queryHosts requests the changes after a sequence number from other hosts, or the full list
// if that is 0.
func (router *Router) queryHosts(ctx context.Context, addresses []string, after int64) (endpointAnswer, error) {
	if after == 0 {
		return router.queryHostsForFullList(ctx, addresses)
	}
	return router.queryHostsForChanges(ctx, addresses, after, maxRelayedAgeShare)
}

// asOfTime returns the time since which the list may have changed. If the store held a
// request for its full wait without a change, its answer states that nothing had changed
// by the end of the wait.
func asOfTime(requestedAt, answeredAt bvclock.Time, wait bvclock.Duration, changes bvplatform.EndpointChanges) bvclock.Time {
	if changes.IsEmpty() && answeredAt.Sub(requestedAt) >= wait {
		return requestedAt.Add(wait)
	}
	return requestedAt
}

// queryHostsForChanges requests the changes after a sequence number from other hosts. Their
// lists may be as old as a share of the drain bound.
func (router *Router) queryHostsForChanges(ctx context.Context, addresses []string, after int64, maxAgeShare float64) (endpointAnswer, error) {
	path := "/endpoints?after=" + strconv.FormatInt(after, 10)
	limit := shareOf(router.settings.DrainBound, sourceTimeoutShare)
	return router.firstRecentAnswer(addresses, maxAgeShare, func(address string) (age bvclock.Duration, changes bvplatform.EndpointChanges, err error) {
		var answer struct {
			Age     bvclock.Duration
			Changes bvplatform.EndpointChanges
		}
		_, err = fetchJSON(ctx, address, path, limit, &answer)
		return answer.Age, answer.Changes, err
	})
}

// queryHostsForFullList requests the full list from other hosts.
func (router *Router) queryHostsForFullList(ctx context.Context, addresses []string) (endpointAnswer, error) {
	return router.firstRecentAnswer(addresses, maxRelayedAgeShare, func(address string) (bvclock.Duration, bvplatform.EndpointChanges, error) {
		return fetchEndpointList(ctx, address)
	})
}

// firstRecentAnswer returns the answer of the first of some hosts whose list is not older
// than a share of the drain bound.
func (router *Router) firstRecentAnswer(
	addresses []string, maxAgeShare float64, query func(address string) (bvclock.Duration, bvplatform.EndpointChanges, error),
) (endpointAnswer, error) {
	for _, address := range addresses {
		if address == router.settings.PeerAddress {
			continue
		}
		requestedAt := router.clock.Now()
		age, changes, err := query(address)
		if err != nil {
			router.log.WithError(err).Debug("list of endpoints not read from another host")
			continue
		}
		if age <= shareOf(router.settings.DrainBound, maxAgeShare) {
			router.counters.Count("lists_from_hosts", "endpoints")
			return endpointAnswer{changes: changes, asOf: requestedAt.Add(-age), requestedAt: requestedAt, relayedBy: address}, nil
		}
	}
	return endpointAnswer{}, errNoSource
}

// retainedCount returns how many endpoints are in use although they are not on the list.
func (router *Router) retainedCount() int {
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	return len(router.endpoints.missing)
}

// endpointsAge returns the time for which the list of endpoints may have been outdated.
func (router *Router) endpointsAge() bvclock.Duration {
	return router.clock.Now().Sub(endpointsInUse{router}.AsOf())
}

// endpointsInUse implements bvfront.EndpointList.
type endpointsInUse struct{ *Router }

// AsOf implements bvfront.EndpointList.
func (endpoints endpointsInUse) AsOf() bvclock.Time {
	if asOf := bvclock.Time(endpoints.endpointsAsOf.Load()); asOf != 0 {
		return asOf
	}
	return endpoints.started
}

// IsFull implements bvfront.EndpointList.
func (endpoints endpointsInUse) IsFull() bool {
	endpoints.endpointsMutex.Lock()
	defer endpoints.endpointsMutex.Unlock()
	return endpoints.endpoints.isComplete()
}

func (router *Router) endpointsNext() int64 {
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	return router.endpoints.next
}

func (router *Router) listedCount() int {
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	return len(router.endpoints.listed)
}

// logFailedRead logs a read of the list that the store did not answer.
func (router *Router) logFailedRead(requestedAt bvclock.Time, err error) {
	router.counters.Add("endpoint_reads_failed", 1)
	router.log.WithError(err).WithFields(logrus.Fields{
		"asked_ms": int64(router.clock.Now().Sub(requestedAt)), "list_ms": int64(router.endpointsAge()),
	}).Info("list of endpoints not read from the store")
}

func (router *Router) recordFailedRead() {
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	router.endpoints.recordFailure()
}

// recordListOutage records that neither the store nor another host has the list.
func (router *Router) recordListOutage() {
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	router.endpoints.recordFailure()
	if held := router.servedEndpoints(router.endpoints.holdRetention()); len(held) > 0 {
		router.dispatcher.ChangeEndpoints(held, nil)
	}
}

// applyEndpoints applies an answer to this host's list and to the dispatcher.
func (router *Router) applyEndpoints(answer endpointAnswer) {
	now := router.clock.Now()
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	answer.listAge = router.endpointsAge()
	if answer.partial {
		router.setEndpoints(router.endpoints.applyPartial(now, answer.changes))
		router.endpointsKnown.Store(true)
		return
	}
	router.endpointsAsOf.Store(max(router.endpointsAsOf.Load(), int64(answer.asOf)))
	update, changed := router.endpoints.update(now, answer.changes)
	if answer.isRelayed() {
		router.endpoints.answeredAt = answer.asOf
	}
	router.logListEvents(update.events, answer)
	switch {
	case update.full:
		router.setEndpoints(update.listed)
	case changed:
		router.changeEndpoints(update)
	}
	router.endpointsKnown.Store(true)
}

// setEndpoints passes a full list to the dispatcher and the connections, with each
// endpoint's service settings of the desired state. The caller holds endpointsMutex.
func (router *Router) setEndpoints(endpoints []bvplatform.Endpoint) {
	served := router.servedEndpoints(endpoints)
	if served == nil {
		return // no request can be routed yet
	}
	ids := make(map[string]bool, len(served))
	for _, endpoint := range served {
		ids[endpoint.ID()] = true
	}
	router.dispatcher.SetEndpoints(served)
	router.requestOrigins()
	router.connections.Retain(ids)
}

// changeEndpoints passes changes to the dispatcher and the connections. An endpoint that has
// restarted does not count as gone; one whose service is no longer known does. The caller
// holds endpointsMutex.
func (router *Router) changeEndpoints(update listUpdate) {
	changed := router.servedEndpoints(update.listed)
	if changed == nil {
		return
	}
	served := make(map[string]bool, len(changed))
	for _, endpoint := range changed {
		served[endpoint.Name] = true
	}
	var gone []string
	for _, endpoint := range update.gone {
		router.connections.Drop(endpoint.ID())
	}
	for _, endpoint := range slices.Concat(update.gone, update.listed) {
		if !served[endpoint.Name] {
			gone = append(gone, endpoint.Name)
		}
	}
	router.dispatcher.ChangeEndpoints(changed, gone)
	if len(update.events.added) > 0 {
		router.requestOrigins()
	}
}

// servedEndpoints returns the endpoints whose services the desired state has, with their
// services' settings; nil before the first desired state. Others may be entries of another
// writer.
func (router *Router) servedEndpoints(endpoints []bvplatform.Endpoint) []bvplatform.Endpoint {
	table := router.state.Current()
	if table == nil {
		return nil
	}
	served := make([]bvplatform.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		service, found := table.ServiceByName(endpoint.Serves)
		if !found {
			continue
		}
		if service.Engine != nil {
			endpoint.CacheTokens = service.Engine.CacheTokens
		}
		served = append(served, endpoint)
	}
	return served
}
