package bvrouter

import (
	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvshare"
)

// countsShares reports whether the work of workspaces is counted: there are any, and the
// mechanism is enabled.
func (router *Router) countsShares() bool {
	table := router.state.Current()
	return table != nil && table.NeedsKeys() && !router.settings.Disabled.Has(bvmechanism.Shares)
}

// addShares adds the work of workspaces at this host to a digest, once the list of hosts is
// known.
func (router *Router) addShares(digest *bvgossip.Digest) {
	if !router.countsShares() || !router.hostsKnown.Load() {
		return
	}
	others, _, lag := router.gossip.PeerStats()
	for _, usage := range router.dispatcher.TakeShareReport(others, lag) {
		digest.Shares = append(digest.Shares, &bvgossip.Share{
			Workspace: usage.Workspace, Asked: float32(usage.Asked), Used: float32(usage.Used),
		})
	}
}

// applyShares records the work of workspaces at another host. A host that sends none does not
// count it, so its work is unknown.
func (handler peerHandler) applyShares(digest *bvgossip.Digest) {
	if len(digest.GetShares()) == 0 || handler.settings.Disabled.Has(bvmechanism.Shares) {
		return
	}
	usages := make([]bvshare.Usage, 0, len(digest.GetShares()))
	for _, share := range digest.GetShares() {
		usages = append(usages, bvshare.Usage{
			Workspace: share.GetWorkspace(), Asked: float64(share.GetAsked()), Used: float64(share.GetUsed()),
		})
	}
	handler.dispatcher.SetPeerShares(xxhash.Sum64String(digest.GetIncarnation()), usages)
}

// updateShareGauges sets the gauges of the workspaces with the largest demand over all hosts,
// in thousandths of an engine's time.
func (router *Router) updateShareGauges() {
	if !router.countsShares() {
		return
	}
	standings := router.dispatcher.LargestShares()
	used, asked, share := make(map[string]int64), make(map[string]int64), make(map[string]int64)
	for _, workspace := range router.state.Current().Workspaces() {
		standing, found := standings[bvshare.HashWorkspace(workspace.Name)]
		if !found {
			continue
		}
		used[workspace.Name], asked[workspace.Name] = inThousandths(standing.Use), inThousandths(standing.Asked)
		share[workspace.Name] = inThousandths(standing.Share)
		router.counters.Set("workspace_reports_age_ms", int64(standing.Age))
		router.counters.Set("workspace_shares_known", gaugeOf(standing.Known))
	}
	router.counters.SetKinds("workspace_used", used)
	router.counters.SetKinds("workspace_asked", asked)
	router.counters.SetKinds("workspace_share", share)
}

func inThousandths(rate float64) int64 { return int64(rate * 1000) }
