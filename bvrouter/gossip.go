package bvrouter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"

	"balsamvalve.example/bvbudget"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvlease"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvroute"
)

// openGossip opens the UDP port for datagrams. It has the same number as the TCP port for
// relayed calls.
func (router *Router) openGossip() error {
	address := router.peers.Addr().(*net.TCPAddr)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: address.IP, Port: address.Port})
	if err != nil {
		return fmt.Errorf("router: listen for other hosts: %w", err)
	}
	router.settings.PeerAddress = address.String()
	router.peerConn = conn
	router.gossip = bvgossip.New(router.incarnation, router.settings.Zone, conn, router.clock, router.log, router.dispatcher)
	router.dispatcher.SetTrackers(router.gossip)
	return nil
}

// sendDigests sends this host's digest regularly, and updates the dispatcher with the loads
// that the other hosts have reported.
func (router *Router) sendDigests(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, router.gossip.Interval())
		digest := router.newDigest()
		router.gossip.SendDigest(digest)
		router.dispatcher.SetPeerLoads(router.peerLoads(digest))
	}
}

func (router *Router) newDigest() *bvgossip.Digest {
	digest := &bvgossip.Digest{
		Host:           router.settings.Name,
		Incarnation:    router.incarnation,
		Zone:           router.settings.Zone,
		Address:        router.settings.PeerAddress,
		Leaving:        router.leaving.Load(),
		StoreReachable: router.store.isReachable(),
	}
	if table := router.state.Current(); table != nil {
		digest.StateVersion = table.Version()
	}
	router.addUsage(digest)
	router.addShares(digest)
	digest.Programs = router.budgets.TakeReservedPrograms()
	running, placed := router.dispatcher.TakeLoadReport()
	for endpoint, count := range running {
		digest.Loads = append(digest.Loads, &bvgossip.Load{Endpoint: endpoint, Running: uint32(count)})
	}
	for endpoint, report := range router.dispatcher.TakeOutcomeReports() {
		digest.Outcomes = append(digest.Outcomes, encodeOutcome(endpoint, report))
	}
	for _, report := range router.suspects.Reports() {
		digest.Crashes = append(digest.Crashes, encodeReport(report))
	}
	for _, placement := range placed {
		digest.Placements = append(digest.Placements, &bvgossip.Placement{
			Endpoint: placement.Endpoint, Part: placement.Part.Key, Tokens: uint32(placement.Part.Tokens),
		})
	}
	return digest
}

// peerLoads returns the number of calls per endpoint that other hosts have reported; own is
// this host's last digest.
func (router *Router) peerLoads(own *bvgossip.Digest) map[uint64]int {
	if router.settings.Disabled.Has(bvmechanism.Digests) {
		return make(map[uint64]int)
	}
	return router.gossip.PeerLoads(own)
}

// peerHandler handles the datagrams of other hosts.
type peerHandler struct{ *Router }

// LendTokens implements bvgossip.Handler.
func (handler peerHandler) LendTokens(host string, ask *bvgossip.Ask) *bvgossip.Lend {
	lent := handler.budgets.LendTokens(host, bvbudget.TokenRequest{
		Program:   ask.GetProgram(),
		Tokens:    int(ask.GetTokens()),
		Partial:   ask.GetPartial(),
		Budget:    int(ask.GetBudget()),
		MaxTokens: int(ask.GetMost()),
		Retain:    bvclock.Duration(ask.GetRetain()),
		Retained:  ask.GetRetained(),
		AsGrantor: ask.GetGrantor(),
	})
	return &bvgossip.Lend{Tokens: uint32(lent.Tokens), Holders: lent.Holders, Withheld: lent.Undecided, Split: lent.Split}
}

// AcceptTokens implements bvgossip.Handler.
func (handler peerHandler) AcceptTokens(lend *bvgossip.Lend) {
	handler.budgets.AcceptTokens(lend.GetProgram(), bvbudget.TokenReply{
		Tokens: int(lend.GetTokens()), Holders: lend.GetHolders(), Split: lend.GetSplit(), Undecided: lend.GetWithheld(),
	})
}

// lenders requests tokens of a program's budget from other hosts.
type lenders struct{ *Router }

// RequestTokens implements bvbudget.Lenders.
func (lenders lenders) RequestTokens(ctx context.Context, host string, want bvbudget.TokenRequest) bvbudget.Answer {
	address, err := netip.ParseAddrPort(host)
	if err != nil {
		lenders.log.WithError(err).Warn("another host's address can't be read")
		return bvbudget.NotAsked
	}
	reply, sent := lenders.gossip.RequestTokens(ctx, address, &bvgossip.Ask{
		Program:  want.Program,
		Tokens:   uint32(want.Tokens),
		Partial:  want.Partial,
		Budget:   uint32(want.Budget),
		Most:     uint32(want.MaxTokens),
		Retain:   int64(want.Retain),
		Retained: want.Retained,
		Grantor:  want.AsGrantor,
	})
	switch {
	case !sent:
		return bvbudget.NotAsked
	case reply == nil:
		return bvbudget.Unanswered
	case reply.GetWithheld():
		return bvbudget.Undecided
	}
	return bvbudget.Answered
}

// AddressOfIncarnation implements bvbudget.Lenders.
func (lenders lenders) AddressOfIncarnation(incarnation string) (string, bool) {
	address, reachable := lenders.gossip.AddressOfIncarnation(incarnation)
	return address.String(), reachable
}

// grantors finds the host that grants a program's tokens, and its current address: after a
// restart it may differ from that on the last list.
type grantors struct{ *Router }

// Holder implements bvbudget.Grantors.
func (grantors grantors) Holder(program string) (bvlease.Host, bool) {
	holder, found := grantors.leases.Holder(program)
	if address, reachable := grantors.gossip.AddressOfHost(holder.Name); found && reachable {
		holder.Address = address.String()
	}
	return holder, found
}

// MayGrant implements bvbudget.Grantors.
func (grantors grantors) MayGrant(now bvclock.Time, program string, retain bvclock.Duration) bool {
	return grantors.leases.MayGrant(now, program, retain)
}

// OldestRule implements bvbudget.Grantors.
func (grantors grantors) OldestRule(now bvclock.Time) bvlease.Rule {
	return grantors.leases.OldestRule(now)
}

// HandleDigest implements bvgossip.Handler.
func (handler peerHandler) HandleDigest(digest *bvgossip.Digest) {
	if !handler.settings.Disabled.Has(bvmechanism.Digests) {
		handler.applyCalls(digest)
	}
	handler.applyUsage(digest)
	handler.applyShares(digest)
	handler.HandleCrashes(&bvgossip.Crashes{Host: digest.GetHost(), Crashes: digest.GetCrashes()})
	handler.budgets.AddHolder(digest.GetAddress(), digest.GetPrograms())
}

// applyCalls records where another host's prompts are cached, and the outcomes of its
// calls.
func (handler peerHandler) applyCalls(digest *bvgossip.Digest) {
	placed := make([]bvdispatch.Placement, 0, len(digest.GetPlacements()))
	for _, placement := range digest.GetPlacements() {
		placed = append(placed, bvdispatch.Placement{
			Endpoint: placement.GetEndpoint(),
			Part:     bvroute.Part{Key: placement.GetPart(), Tokens: int(placement.GetTokens())},
		})
	}
	handler.dispatcher.AddPeerPlacements(placed)
	seen := make(map[uint64]bvdispatch.OutcomeReport, len(digest.GetOutcomes()))
	for _, outcome := range digest.GetOutcomes() {
		seen[outcome.GetEndpoint()] = decodeOutcome(outcome)
	}
	handler.dispatcher.AddPeerReports(seen)
}

func encodeOutcome(endpoint uint64, report bvdispatch.OutcomeReport) *bvgossip.Outcome {
	return &bvgossip.Outcome{
		Endpoint: endpoint, Ended: uint32(report.Calls), Failed: uint32(report.Failures),
		Paced: uint32(report.PacedCalls), Pace: uint32(report.PaceMs), ToldPace: uint32(report.ReportedPace),
	}
}

func decodeOutcome(outcome *bvgossip.Outcome) bvdispatch.OutcomeReport {
	return bvdispatch.OutcomeReport{
		Calls: int(outcome.GetEnded()), Failures: int(outcome.GetFailed()),
		PacedCalls: int(outcome.GetPaced()), PaceMs: int(outcome.GetPace()), ReportedPace: int(outcome.GetToldPace()),
	}
}

// maxRelays is the maximum number of hosts through which one call to the store is
// attempted.
const maxRelays = 2

// relays returns a few hosts that reach the store, in random order.
func (router *Router) relays() []string {
	if router.settings.Disabled.Has(bvmechanism.Relays) {
		return nil
	}
	return selectRandom(router.gossip.LivePeers(), maxRelays, func(digest *bvgossip.Digest) bool {
		return digest.GetStoreReachable() && !digest.GetLeaving()
	})
}

// selectRandom returns the addresses of up to limit eligible hosts, selected at random.
func selectRandom(digests []*bvgossip.Digest, limit int, isEligible func(*bvgossip.Digest) bool) []string {
	var addresses []string
	for _, digest := range digests {
		if isEligible(digest) {
			addresses = append(addresses, digest.GetAddress())
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), limit)]
}
