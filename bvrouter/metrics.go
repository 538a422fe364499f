package bvrouter

import (
	"net/http"
)

// metricsHandler serves the counters as text at any path.
func (router *Router) metricsHandler() http.Handler {
	text := router.counters.Text()
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		router.updateGauges()
		text.ServeHTTP(writer, request)
	})
}

func (router *Router) countStoreCall(kind string) { router.counters.Count("store_calls", kind) }

// updateGauges sets the metrics that are gauges.
func (router *Router) updateGauges() {
	if table := router.state.Current(); table != nil {
		router.counters.Set("desired_state_version", table.Version())
	}
	router.counters.Set("store_reachable", gaugeOf(router.store.isReachable()))
	router.counters.Set("hosts_heard", int64(router.PeerCount()))
	router.counters.Set("reads_for_others", gaugeOf(router.IsReader()))
	router.counters.Set("endpoints_age_ms", int64(router.endpointsAge()))
	router.counters.Set("endpoints", int64(router.EndpointCount()))
	router.counters.Set("endpoints_retained", int64(router.retainedCount()))
	router.counters.Set("speed_conflicts", int64(router.dispatcher.SpeedConflicts()))
	router.counters.Set("suspects", int64(router.suspects.Len()))
	router.counters.Set("suspects_restricted", int64(router.suspects.RestrictedCount()))
	router.counters.Set("stream_starts_known", int64(router.streams.Len()))
	router.counters.Set("stream_starts_evicted", router.streams.Evicted())
	router.counters.Set("call_bytes_held", router.HeldBytes())
	router.counters.Set("connections_opened", router.connections.Opened())
	for reason, count := range router.connections.Skipped() {
		router.counters.SetKind("answers_skipped", reason.String(), count)
	}
	router.counters.Set("budget_writes", router.budgets.WriteCount())
	router.counters.Set("budget_accounts", int64(router.budgets.Len()))
	router.counters.Set("grants", int64(router.budgets.GrantCount()))
	queried, unanswered := router.gossip.TrackerQueries()
	router.counters.Set("trackers_asked", queried)
	router.counters.Set("trackers_unanswered", unanswered)
	router.counters.Set("datagrams_rejected", router.gossip.Rejected())
	router.counters.Set("digest_entries_omitted", router.gossip.Omitted())
	router.updateShareGauges()
	for service, rate := range router.dispatcher.ReadingRates() {
		router.counters.SetKind("tokens_read_per_ms", service, int64(rate))
	}
}

func gaugeOf(value bool) int64 {
	if value {
		return 1
	}
	return 0
}
