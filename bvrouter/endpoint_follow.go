package bvrouter

import (
	"context"
	"errors"
	"slices"
	"strconv"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvplatform"
)

const (
	// firstLook is how long after the first start of the whole system the list of
	// endpoints is read first: they register in that time, and each that does so later
	// is told to each host by itself.
	firstLook = 2500 * bvclock.Millisecond
	// hostsPatience is for how long after its start a host waits for the list of hosts
	// before it reads a large list of endpoints.
	hostsPatience = 1 * bvclock.Second
	// wholePatience is for how long a host waits for another one's whole list, while it
	// serves with a part of it.
	wholePatience = 10 * bvclock.Second
	// listAgeShare bounds the age of another host's list, and of a part that a host
	// begins with, as a share of the time within which a leaving endpoint must get no
	// more calls.
	listAgeShare = 0.6
	// perEndpoint is the pause after changes for each endpoint of the list: the more
	// there are, the more often one of them changes.
	perEndpoint = 0.1 // milliseconds
)

// followEndpoints keeps the list of endpoints up to date. It asks for what changed, since
// the whole list is large where there are many endpoints.
func (router *Router) followEndpoints(ctx context.Context) {
	lost := bvlog.Outage{What: "list of endpoints", Log: router.log}
	if router.settings.FirstStart {
		pause(ctx, firstLook-router.clock.Now().Sub(router.started))
	}
	for ctx.Err() == nil {
		asked := router.clock.Now()
		wait := router.endpointsWait()
		answer, err := router.askEndpoints(ctx, wait)
		switch {
		case errors.Is(err, errRegained):
			router.missEndpoints()
			continue
		case errors.Is(err, errNoSource):
			pause(ctx, retryInterval)
			continue
		case answer.changes.Next == 0:
			lost.Note(unlessEnded(ctx, err))
			router.missEndpoints()
			pause(ctx, retryInterval)
			continue
		}
		lost.Note(nil)
		if err != nil {
			router.log.WithError(err).WithField("endpoints", answer.changes.Unusable).Warn("entries of the list of endpoints can't be used")
		}
		router.takeEndpoints(answer)
		// Some answers come early with nothing new, since endpoints write their entries
		// at each heartbeat: with 64 of them, twice as many calls as there were waits.
		if !answer.changes.Empty() && !answer.relayed {
			wait = min(wait, bvclock.Duration(perEndpoint*float64(router.endpointCount())))
		}
		pause(ctx, wait-router.clock.Now().Sub(asked))
	}
}

// endpointsWait returns the time between two questions for changes. The time of another
// host's question comes before this one's.
func (router *Router) endpointsWait() bvclock.Duration {
	wait := waitWithin(router.settings.Drain)
	if router.sources().large() {
		return wait / 2
	}
	return wait
}

// endpointAnswer is what the platform said of endpoints.
type endpointAnswer struct {
	changes bvplatform.EndpointChanges
	asOf    bvclock.Time // since when the list may have changed
	relayed bool         // through another host
	part    bool         // of the list only
}

// askEndpoints asks for what changed: other hosts in a large fleet, and then the store, or
// another host that reaches it.
func (router *Router) askEndpoints(ctx context.Context, wait bvclock.Duration) (endpointAnswer, error) {
	after := router.endpointsNext()
	if after == 0 {
		return router.askAllEndpoints(ctx, wait)
	}
	known := router.sources()
	if known.large() && router.endpointCount() > directEndpoints && !known.reads() {
		if answer, err := router.endpointsOf(ctx, known.toAsk(), after); err == nil {
			return answer, nil
		}
	}
	return router.askStore(ctx, after, wait)
}

// askStore asks the store, or hosts that reach it where it does not answer this one.
func (router *Router) askStore(ctx context.Context, after int64, wait bvclock.Duration) (endpointAnswer, error) {
	asked := router.clock.Now()
	changes, err := router.store.AwaitEndpoints(ctx, after, wait)
	answer := endpointAnswer{changes: changes, asOf: answeredAsOf(asked, router.clock.Now(), wait, changes)}
	if answer.changes.Next != 0 || errors.Is(err, errRegained) || ctx.Err() != nil {
		return answer, err
	}
	router.missEndpoints()
	if relayed, failed := router.endpointsSince(ctx, router.helpers(), after); failed == nil {
		return relayed, nil
	}
	return answer, err
}

// endpointsSince asks other hosts for what changed after a point, or for all from point 0.
func (router *Router) endpointsSince(ctx context.Context, addresses []string, after int64) (endpointAnswer, error) {
	if after == 0 {
		return router.allEndpointsOf(ctx, addresses)
	}
	return router.endpointsOf(ctx, addresses, after)
}

// answeredAsOf returns since when the list may have changed. A question that was held to
// its end without a change was answered by what the store knew then.
func answeredAsOf(asked, answered bvclock.Time, wait bvclock.Duration, changes bvplatform.EndpointChanges) bvclock.Time {
	if changes.Empty() && answered.Sub(asked) >= wait {
		return asked.Add(wait)
	}
	return asked
}

// askAllEndpoints asks for the list where this host has none yet. It begins with a part of
// a large list, and leaves the rest to the hosts that read for others.
func (router *Router) askAllEndpoints(ctx context.Context, wait bvclock.Duration) (endpointAnswer, error) {
	now := router.clock.Now()
	if !router.endpointsKnown.Load() || now.Sub(router.partAsOf) > mostListAge(router.settings.Drain) {
		if answer, err := router.askPart(ctx); answer.changes.Next != 0 {
			return answer, err
		}
		if !router.endpointsKnown.Load() {
			return router.askStore(ctx, 0, wait)
		}
	}
	known, age := router.sources(), now.Sub(router.started)
	if router.hosts.Load() == nil && age < hostsPatience {
		return endpointAnswer{}, errNoSource // it is not known yet whether the fleet is large
	}
	if known.large() && !known.reads() && age < wholePatience {
		return router.allEndpointsOf(ctx, append(known.strangers(), known.readers()...))
	}
	return router.askStore(ctx, 0, wait)
}

// askPart asks the store for a part of the list, or all of a short one.
func (router *Router) askPart(ctx context.Context) (endpointAnswer, error) {
	asked := router.clock.Now()
	changes, err := router.store.FirstEndpoints(ctx, directEndpoints)
	if changes.Next != 0 {
		router.partAsOf = asked
	}
	return endpointAnswer{changes: changes, asOf: asked, part: !changes.Whole}, err
}

// endpointsOf asks other hosts for what changed after a point of the platform's history.
func (router *Router) endpointsOf(ctx context.Context, addresses []string, after int64) (endpointAnswer, error) {
	path := "/endpoints?after=" + strconv.FormatInt(after, 10)
	return router.fromFirst(addresses, func(address string) (age bvclock.Duration, changes bvplatform.EndpointChanges, err error) {
		var answer struct {
			Age     bvclock.Duration
			Changes bvplatform.EndpointChanges
		}
		_, err = fetch(ctx, address, path, sourceTimeout, &answer)
		return answer.Age, answer.Changes, err
	})
}

// allEndpointsOf asks other hosts for the whole list.
func (router *Router) allEndpointsOf(ctx context.Context, addresses []string) (endpointAnswer, error) {
	return router.fromFirst(addresses, func(address string) (bvclock.Duration, bvplatform.EndpointChanges, error) {
		return fetchAllEndpoints(ctx, address)
	})
}

// fromFirst returns the answer of the first of some hosts whose list is not too old.
func (router *Router) fromFirst(
	addresses []string, ask func(address string) (bvclock.Duration, bvplatform.EndpointChanges, error),
) (endpointAnswer, error) {
	for _, address := range addresses {
		if address == router.settings.PeerAddress {
			continue
		}
		asked := router.clock.Now()
		age, changes, err := ask(address)
		if err != nil {
			router.log.WithError(err).Debug("list of endpoints not read from another host")
			continue
		}
		if age <= mostListAge(router.settings.Drain) {
			router.counters.Count("lists_from_hosts", "endpoints")
			return endpointAnswer{changes: changes, asOf: asked.Add(-age), relayed: true}, nil
		}
	}
	return endpointAnswer{}, errNoSource
}

func mostListAge(drain bvclock.Duration) bvclock.Duration {
	return bvclock.Duration(listAgeShare * float64(drain))
}

// endpointsAge returns since when the list of endpoints may have changed.
func (router *Router) endpointsAge() bvclock.Duration {
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	return router.clock.Now().Sub(router.endpointsAsOf)
}

func (router *Router) endpointsNext() int64 {
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	return router.endpoints.next
}

func (router *Router) endpointCount() int {
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	return len(router.endpoints.listed)
}

func (router *Router) missEndpoints() {
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	router.endpoints.missed()
}

// takeEndpoints takes over what the platform said.
func (router *Router) takeEndpoints(answer endpointAnswer) {
	now := router.clock.Now()
	router.endpointsMutex.Lock()
	defer router.endpointsMutex.Unlock()
	if answer.part {
		router.spreadEndpoints(router.endpoints.borrow(now, answer.changes.Listed))
		router.endpointsKnown.Store(true)
		return
	}
	router.endpointsAsOf = max(router.endpointsAsOf, answer.asOf)
	update, changed := router.endpoints.update(now, answer.changes)
	switch {
	case update.whole:
		router.spreadEndpoints(update.listed)
	case changed:
		router.changeEndpoints(update)
	}
	router.endpointsKnown.Store(true)
}

// spreadEndpoints hands a whole list on, with what the desired state says of each
// endpoint's service. The caller holds endpointsMutex.
func (router *Router) spreadEndpoints(endpoints []bvplatform.Endpoint) {
	known := router.served(endpoints)
	if known == nil {
		return // nothing can be sent yet
	}
	ids := make(map[string]bool, len(known))
	for _, endpoint := range known {
		ids[endpoint.ID()] = true
	}
	router.dispatcher.SetEndpoints(known)
	router.connections.Retain(ids)
}

// changeEndpoints hands changes on. An endpoint that has started again is not gone, and one
// whose service is not known any more is. The caller holds endpointsMutex.
func (router *Router) changeEndpoints(update listUpdate) {
	known := router.served(update.listed)
	if known == nil {
		return
	}
	served := make(map[string]bool, len(known))
	for _, endpoint := range known {
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
	router.dispatcher.ChangeEndpoints(known, gone)
}

// served returns those endpoints whose services routes lead to, with what the desired
// state says of these; nil before the first one. Others may be another writer's entries.
func (router *Router) served(endpoints []bvplatform.Endpoint) []bvplatform.Endpoint {
	table := router.state.Current()
	if table == nil {
		return nil
	}
	known := make([]bvplatform.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		service, found := table.ServiceByName(endpoint.Serves)
		if !found {
			continue
		}
		if service.Engine != nil {
			endpoint.CacheTokens = service.Engine.CacheTokens
		}
		known = append(known, endpoint)
	}
	return known
}
