package bvrouter

import (
	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvquota"
	"balsamvalve.example/bvroute"
)

// unansweredWait is when to come back with a request whose allocator does not answer:
// its successor is asked by then.
const unansweredWait = 300 * bvclock.Millisecond

// quotas holds workspaces to their usage caps.
type quotas struct{ *Router }

// Take implements bvfront.Quotas.
func (quotas quotas) Take(request bvquota.Request) bvquota.Decision {
	decision := quotas.limiter.Take(request)
	if decision.Outcome != bvquota.Ask {
		return decision
	}
	return quotas.claim(request)
}

// claim asks the allocator of a workspace, or the next one where it is silent.
func (quotas quotas) claim(request bvquota.Request) bvquota.Decision {
	use := quotas.limiter.OwnUsage(request.Workspace)
	allocators, firstSkipped := quotas.gossip.Allocators(use.Workspace)
	for i, allocator := range allocators {
		request.FromStandby = firstSkipped || i > 0
		if quotas.gossip.IsSelf(allocator) {
			if decision := quotas.limiter.TakeAsAllocator(request); decision.Outcome != bvquota.Ask {
				return decision
			}
			continue
		}
		quotas.counters.Add("quota_claims", 1)
		claimed := quotas.gossip.SendClaim(allocator, &bvgossip.Claim{
			Host: xxhash.Sum64String(quotas.incarnation), Workspace: use.Workspace, Count: use.Count, Recent: use.Recent,
			Fresh: request.NewProgram, Standby: request.FromStandby,
		})
		switch {
		case claimed == nil:
			quotas.counters.Add("quota_claims_unanswered", 1)
		case claimed.GetUndecided():
		case claimed.GetGranted():
			quotas.limiter.RecordGrant(request.Workspace)
			return bvquota.Decision{Wait: bvclock.Duration(claimed.GetWait())}
		default:
			return bvquota.Decision{Outcome: bvquota.Refused, Wait: bvclock.Duration(claimed.GetWait())}
		}
	}
	return bvquota.Decision{Outcome: bvquota.Ask, Wait: unansweredWait}
}

// DecideClaim implements bvgossip.Handler.
func (handler peerHandler) DecideClaim(claim *bvgossip.Claim) *bvgossip.Claimed {
	decision := handler.limiter.DecideClaim(claim.GetHost(), bvquota.Usage{
		Workspace: claim.GetWorkspace(), Count: claim.GetCount(), Recent: claim.GetRecent(),
	}, bvquota.Request{NewProgram: claim.GetFresh(), FromStandby: claim.GetStandby()})
	return &bvgossip.Claimed{
		Granted: decision.Outcome == bvquota.Granted, Undecided: decision.Outcome == bvquota.Ask, Wait: uint32(decision.Wait),
	}
}

// setCaps takes over the usage caps of the desired state.
func (router *Router) setCaps(table *bvroute.Table) {
	var caps []bvquota.Cap
	for _, workspace := range table.Workspaces() {
		if workspace.HasCap() {
			caps = append(caps, bvquota.Cap{Workspace: workspace.Name, Rate: workspace.Rate, Burst: workspace.Burst})
		}
	}
	router.limiter.SetCaps(caps)
}

// tellUses adds to a digest what this host has run of workspaces with a cap.
func (router *Router) addUsage(digest *bvgossip.Digest) {
	if router.hostsKnown.Load() {
		others, heard, lag := router.gossip.PeerStats()
		router.limiter.SetHosts(others+1, heard+1, lag)
	}
	if router.clock.Now().Sub(router.started) > router.settings.QuotaWindow {
		router.gossip.SetSettled()
		digest.Settled = true
	}
	for _, use := range router.limiter.RecentUsage() {
		digest.UsedWorkspaces = append(digest.UsedWorkspaces, use.Workspace)
		digest.UsedCounts = append(digest.UsedCounts, use.Count)
		digest.UsedRecent = append(digest.UsedRecent, use.Recent)
	}
}

// hearUses takes in what another host has run of workspaces with a cap.
func (handler peerHandler) applyUsage(digest *bvgossip.Digest) {
	workspaces, counts, recent := digest.GetUsedWorkspaces(), digest.GetUsedCounts(), digest.GetUsedRecent()
	if len(counts) != len(workspaces) || len(recent) != len(workspaces) {
		return
	}
	uses := make([]bvquota.Usage, len(workspaces))
	for i := range workspaces {
		uses[i] = bvquota.Usage{Workspace: workspaces[i], Count: counts[i], Recent: recent[i]}
	}
	handler.limiter.RecordUsage(xxhash.Sum64String(digest.GetIncarnation()), uses)
}
