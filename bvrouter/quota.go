package bvrouter

import (
	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvquota"
	"balsamvalve.example/bvroute"
)

// unansweredWait is the retry delay of a request whose allocator does not answer: by then,
// requests go to its successor.
const unansweredWait = 300 * bvclock.Millisecond

// quotas enforces the usage caps of workspaces.
type quotas struct{ *Router }

// Take implements bvfront.Quotas.
func (quotas quotas) Take(request bvquota.Request) bvquota.Decision {
	decision := quotas.limiter.Take(request)
	if decision.Outcome != bvquota.Ask {
		return decision
	}
	return quotas.claim(request)
}

// claim sends a claim to the allocator of a workspace, or to the next one if it is silent.
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
			return bvquota.Decision{Outcome: bvquota.Refused, Wait: bvclock.Duration(claimed.GetWait()), Basis: bvquota.Basis{
				Level: float64(claimed.GetLevel()), Required: float64(claimed.GetRequired()), GroupShare: float64(claimed.GetShare()),
			}}
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
		Level: float32(decision.Basis.Level), Required: float32(decision.Basis.Required), Share: float32(decision.Basis.GroupShare),
	}
}

// setCaps applies the usage caps of the desired state.
func (router *Router) setCaps(table *bvroute.Table) {
	var caps []bvquota.Cap
	for _, workspace := range table.Workspaces() {
		if workspace.HasCap() {
			caps = append(caps, bvquota.Cap{Workspace: workspace.Name, Rate: workspace.Rate, Burst: workspace.Burst})
		}
	}
	router.limiter.SetCaps(caps)
}

// addUsage adds this host's usage of workspaces with a cap to a digest.
func (router *Router) addUsage(digest *bvgossip.Digest) {
	if router.hostsKnown.Load() {
		others, reachable, lag := router.gossip.PeerStats()
		router.limiter.SetHosts(others+1, reachable+1, lag)
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

// applyUsage records another host's usage of workspaces with a cap.
func (handler peerHandler) applyUsage(digest *bvgossip.Digest) {
	workspaces, counts, recent := digest.GetUsedWorkspaces(), digest.GetUsedCounts(), digest.GetUsedRecent()
	if len(counts) != len(workspaces) || len(recent) != len(workspaces) {
		return
	}
	usages := make([]bvquota.Usage, len(workspaces))
	for i := range workspaces {
		usages[i] = bvquota.Usage{Workspace: workspaces[i], Count: counts[i], Recent: recent[i]}
	}
	handler.limiter.RecordUsage(xxhash.Sum64String(digest.GetIncarnation()), usages)
}
