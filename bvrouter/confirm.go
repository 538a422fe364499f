package bvrouter

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

const (
	// confirmInterval is the time between two checks of the age of the desired state.
	confirmInterval = 200 * bvclock.Millisecond
	// answerMargin is how much longer than the wait for a change the store's answer may
	// take before another host is queried.
	answerMargin = 300 * bvclock.Millisecond
	// maxAgeShare is the share of the bound on revoked keys after which another host is
	// queried at the latest.
	maxAgeShare = 0.7
)

// maintainConfirmation gets confirmations of the desired state, or newer versions, from
// other hosts while the store does not answer this one. A silent store holds this host's
// own request for seconds, and keys would have to be refused before it ends.
func (router *Router) maintainConfirmation(ctx context.Context) {
	limit := maxConfirmedAge(router.settings.ApplyBound, router.settings.RevocationBound)
	for ctx.Err() == nil {
		pause(ctx, confirmInterval)
		age, known := router.state.Age()
		if !known || age > limit || !router.store.isReachable() && router.isBehindPeers() {
			if !router.refreshRoutes(ctx, router.relays()) && known && age < router.settings.RevocationBound {
				router.refreshRoutes(ctx, router.randomPeer())
			}
		}
	}
}

// randomPeer returns a random other host, for use while no host reaches the store. The
// hosts' last answers from the store differ in age; after a few rounds all hosts have the
// newest one, so valid keys are served for longer.
func (router *Router) randomPeer() []string {
	if router.settings.Disabled.Has(bvmechanism.Relays) {
		return nil
	}
	return selectRandom(router.gossip.LivePeers(), 1, func(digest *bvgossip.Digest) bool { return !digest.GetLeaving() })
}

// isBehindPeers reports whether another host has a newer version than the one in force
// here.
func (router *Router) isBehindPeers() bool {
	version := router.currentVersion()
	return slices.ContainsFunc(router.gossip.LivePeers(), func(digest *bvgossip.Digest) bool {
		return digest.GetStateVersion() > version
	})
}

// maxConfirmedAge returns the age of the desired state from which another host is queried.
// While the store answers, the state's age is one wait for a change when an answer
// arrives, and two waits just before the next one.
func maxConfirmedAge(apply, revoke bvclock.Duration) bvclock.Duration {
	limit := 2*stateWait(apply) + answerMargin
	if revoke > 0 {
		limit = min(limit, bvclock.Duration(maxAgeShare*float64(revoke)))
	}
	return limit
}

// refreshRoutes gets the desired state, and how long ago the store confirmed it, from the
// first of some hosts that has it. It reports whether one has.
func (router *Router) refreshRoutes(ctx context.Context, hosts []string) bool {
	_, found := router.loadRoutes(ctx, hosts, relayTimeout)
	return found
}

// refreshRoutesInTime does the same instead of a request to the store. It reports whether
// the state is as recent as after such a request.
func (router *Router) refreshRoutesInTime(ctx context.Context, hosts []string) bool {
	apply := router.settings.ApplyBound
	age, found := router.loadRoutes(ctx, hosts, shareOf(apply, sourceTimeoutShare))
	return found && age <= maxFollowedStateAge(apply, router.settings.RevocationBound)
}

// maxFollowedStateAge returns the maximum age of the desired state that a host takes from a
// reader instead of a request to the store.
func maxFollowedStateAge(apply, revoke bvclock.Duration) bvclock.Duration {
	return min(shareOf(apply, maxFollowedAgeShare), maxConfirmedAge(apply, revoke))
}

// loadRoutes applies the desired state of the first of some hosts that has it, and returns
// how long ago the store confirmed it.
func (router *Router) loadRoutes(ctx context.Context, hosts []string, limit bvclock.Duration) (age bvclock.Duration, found bool) {
	for _, address := range hosts {
		requestedAt := router.clock.Now()
		confirmed, err := fetchRoutes(ctx, address, router.currentVersion(), limit)
		if err != nil {
			router.log.WithError(err).Debug("desired state not read from another host")
			continue
		}
		if confirmed.table != nil {
			router.applyTable(confirmed.table)
		}
		// The other host states the age at a time after the request was sent, so a slow
		// transfer or a suspension makes the state look older here, never younger.
		router.state.recordConfirmation(requestedAt.Add(-confirmed.age))
		return confirmed.age, true
	}
	return 0, false
}

// currentVersion returns the version in force here, or 0 before the first one.
func (router *Router) currentVersion() int64 {
	if table := router.state.Current(); table != nil {
		return table.Version()
	}
	return 0
}

// confirmedState is another host's desired state.
type confirmedState struct {
	age   bvclock.Duration // since the store confirmed it
	table *bvroute.Table   // nil if it is no newer than the requesting host's version
}

// relayRoutes serves the desired state in force here to another host, unless that host has
// it already, and how long ago the store confirmed it.
func (router *Router) relayRoutes(writer http.ResponseWriter, request *http.Request) {
	table, age, known := router.state.Confirmed()
	if table == nil || !known {
		bvplatform.WriteAnswer(writer, nil, bvplatform.ErrUnavailable)
		return
	}
	answer := struct {
		Age  bvclock.Duration
		Rows *bvroute.Rows `json:",omitempty"`
	}{Age: age}
	after, err := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	if err != nil || after < table.Version() {
		rows := table.Rows()
		answer.Rows = &rows
	}
	bvplatform.WriteAnswer(writer, answer, nil)
}

// fetchRoutes reads another host's desired state, if it is newer than a version, and its
// age.
func fetchRoutes(ctx context.Context, address string, after int64, limit bvclock.Duration) (confirmedState, error) {
	var answer struct {
		Age  bvclock.Duration
		Rows *bvroute.Rows
	}
	_, err := fetchJSON(ctx, address, "/routes?after="+strconv.FormatInt(after, 10), limit, &answer)
	if err != nil {
		return confirmedState{}, err
	}
	confirmed := confirmedState{age: answer.Age}
	if answer.Rows != nil {
		confirmed.table, err = bvroute.NewTable(*answer.Rows)
	}
	return confirmed, err
}
