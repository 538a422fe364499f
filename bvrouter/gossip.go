package bvrouter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvbudget"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvdispatch"
	"balsamvalve.example/bvgossip"
	"balsamvalve.example/bvlease"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

const (
	// hostsPrefix is where hosts list themselves in the platform's store.
	hostsPrefix = "hosts//"
	// hostsInterval is the time between two looks at that list. Hosts also
	// learn of each other by the first digest.
	hostsInterval = 10 * bvclock.Second
	// firstHostsInterval is the same for the first looks, until all hosts that
	// started together are surely on the list.
	firstHostsInterval = bvclock.Second
	firstHostsLooks    = 7
	// hostsPage is how many rows of it are read at once: as many as the platform
	// gives in one answer.
	hostsPage = 500
)

// hostRow is how a host lists itself.
type hostRow struct {
	Address     string `json:"address"` // IP:port for digests and relayed calls
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"` // differs with each start of the process
	Grantor     bool   `json:"grantor"`     // has a part of all programs to grant for
}

// openGossip opens the port for datagrams, which has the number of the one for
// relayed calls.
func (router *Router) openGossip() error {
	address := router.peers.Addr().(*net.TCPAddr)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: address.IP, Port: address.Port})
	if err != nil {
		return fmt.Errorf("router: listen for other hosts: %w", err)
	}
	router.settings.PeerAddress = address.String()
	router.peerConn = conn
	router.gossip = bvgossip.New(router.incarnation, router.settings.Zone, conn, router.clock, router.log, router.desk.ZoneOf)
	return nil
}

// followHosts lists this host and looks for others.
func (router *Router) followHosts(ctx context.Context) {
	lost := bvlog.Outage{What: "list of hosts", Log: router.log}
	for look := 0; ctx.Err() == nil; look++ {
		// The list is read first: it tells whether a write took effect whose
		// answer was lost.
		err := router.readHosts(ctx)
		if err == nil && router.mustList() {
			err = router.listSelf(ctx)
		}
		lost.Note(unlessEnded(ctx, err))
		if look < firstHostsLooks || err != nil || !router.shown {
			pause(ctx, firstHostsInterval)
			continue
		}
		pause(ctx, hostsInterval)
	}
}

// mustList reports whether this host is to be listed, or listed anew: its row may
// have been removed while it was cut off, or it has become old enough to grant.
func (router *Router) mustList() bool {
	becomesGrantor := !router.listedAsGrantor && router.clock.Now().Sub(router.started) > newcomerTime
	return !router.leaving.Load() && (!router.shown || becomesGrantor)
}

// readHosts reads the list of hosts and hands it on.
func (router *Router) readHosts(ctx context.Context) error {
	asked := router.clock.Now()
	rows, err := router.scanHosts(ctx)
	if err != nil {
		return err
	}
	addresses := make([]netip.AddrPort, 0, len(rows))
	hosts := make([]bvlease.Host, 0, len(rows))
	shown := false
	for _, row := range rows {
		var host hostRow
		if err := json.Unmarshal(row.Value, &host); err != nil {
			return fmt.Errorf("router: row %s of the list of hosts: %w", row.Key, err)
		}
		address, err := netip.ParseAddrPort(host.Address)
		if err != nil {
			return fmt.Errorf("router: row %s of the list of hosts: %w", row.Key, err)
		}
		if host.Grantor {
			hosts = append(hosts, bvlease.Host{
				Name: strings.TrimPrefix(row.Key, hostsPrefix), Incarnation: host.Incarnation, Address: host.Address,
			})
		}
		if host.Incarnation == router.incarnation {
			shown = true
			router.noteListed(row.Version, host.Grantor)
		}
		if host.Address != router.settings.PeerAddress {
			addresses = append(addresses, address)
			router.unlistDead(ctx, row, address)
		}
	}
	router.shown = shown // noteListed compares with the look before
	router.gossip.SetHosts(addresses)
	router.leases.Listed(asked, router.clock.Now(), hosts)
	return nil
}

// deadAfter is how long a host may be silent before it is taken off the list. One
// that was only cut off lists itself again once it has read the list.
const deadAfter = 10 * bvclock.Minute

// unlistDead takes a host off the list that was not heard for long. Hosts that die
// for good don't do so themselves, and their programs would have no grantor.
func (router *Router) unlistDead(ctx context.Context, row bvplatform.Row, address netip.AddrPort) {
	silent := router.gossip.SilentFor(address, router.started)
	if silent < deadAfter {
		return
	}
	_, err := router.reach.Commit(ctx, bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: row.Key, Version: row.Version}},
		Puts:   []bvplatform.Put{{Key: row.Key}},
	})
	router.log.WithError(err).WithFields(logrus.Fields{"row": row.Key, "silent_ms": int64(silent)}).Info("silent host taken off the list")
}

// scanHosts reads the list whole, page by page. A host that is listed while the
// pages are read may be missing, as it may have been listed just after.
func (router *Router) scanHosts(ctx context.Context) (rows []bvplatform.Row, err error) {
	after := ""
	for {
		page, err := router.reach.Scan(ctx, hostsPrefix, after, hostsPage)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < hostsPage {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

// tellHosts sends this host's digest and takes over what the others told.
func (router *Router) tellHosts(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, router.gossip.Interval())
		router.gossip.Send(router.digest(), router.desk.Crowded())
		router.desk.SetPeerLoads(router.peerLoads())
	}
}

func (router *Router) digest() *bvgossip.Digest {
	digest := &bvgossip.Digest{
		Host:           router.settings.Name,
		Incarnation:    router.incarnation,
		Zone:           router.settings.Zone,
		Address:        router.settings.PeerAddress,
		Leaving:        router.leaving.Load(),
		StoreReachable: router.reach.up(),
	}
	if table := router.state.Current(); table != nil {
		digest.StateVersion = table.Version()
	}
	digest.Programs = router.budgets.Begun()
	running, placed := router.desk.Report()
	for endpoint, count := range running {
		digest.Loads = append(digest.Loads, &bvgossip.Load{Endpoint: endpoint, Running: uint32(count)})
	}
	for endpoint, report := range router.desk.Untold() {
		digest.Outcomes = append(digest.Outcomes, &bvgossip.Outcome{
			Endpoint: endpoint, Ended: uint32(report.Ended), Failed: uint32(report.Failed),
			Paced: uint32(report.Paced), Pace: uint32(report.Pace),
		})
	}
	for _, crash := range router.desk.Crashes() {
		digest.Crashes = append(digest.Crashes, &bvgossip.Crash{Request: crash.Request, Endpoint: crash.Endpoint})
	}
	for _, placement := range placed {
		digest.Placements = append(digest.Placements, &bvgossip.Placement{
			Endpoint: placement.Endpoint, Part: placement.Part.Key, Tokens: uint32(placement.Part.Tokens),
		})
	}
	return digest
}

func (router *Router) peerLoads() map[uint64]int {
	loads := make(map[uint64]int)
	for _, digest := range router.gossip.Heard() {
		for _, load := range digest.GetLoads() {
			loads[load.GetEndpoint()] += int(load.GetRunning())
		}
	}
	return loads
}

// peerHandler takes in what other hosts send.
type peerHandler struct{ *Router }

// Lend implements bvgossip.Handler.
func (handler peerHandler) Lend(host string, ask *bvgossip.Ask) *bvgossip.Lend {
	given := handler.budgets.Lend(host, bvbudget.Want{
		Program: ask.GetProgram(),
		Tokens:  int(ask.GetTokens()),
		Partial: ask.GetPartial(),
		Budget:  int(ask.GetBudget()),
		Most:    int(ask.GetMost()),
		Retain:  bvclock.Duration(ask.GetRetain()),
		Grantor: ask.GetGrantor(),
	})
	return &bvgossip.Lend{Tokens: uint32(given.Tokens), Holders: given.Holders, Withheld: given.Withheld}
}

// Lent implements bvgossip.Handler.
func (handler peerHandler) Lent(program string, tokens int, holders []string) {
	handler.budgets.Lent(program, tokens, holders)
}

// lenders asks other hosts for tokens of a program's budget.
type lenders struct{ *Router }

// Ask implements bvbudget.Lenders.
func (lenders lenders) Ask(ctx context.Context, host string, want bvbudget.Want) (asked, answered bool) {
	address, err := netip.ParseAddrPort(host)
	if err != nil {
		lenders.log.WithError(err).Warn("another host's address can't be read")
		return false, false
	}
	return lenders.gossip.Ask(ctx, address, &bvgossip.Ask{
		Program: want.Program,
		Tokens:  uint32(want.Tokens),
		Partial: want.Partial,
		Budget:  uint32(want.Budget),
		Most:    uint32(want.Most),
		Retain:  int64(want.Retain),
		Grantor: want.Grantor,
	})
}

// Address implements bvbudget.Lenders.
func (lenders lenders) Address(incarnation string) (string, bool) {
	address, heard := lenders.gossip.Address(incarnation)
	return address.String(), heard
}

// grantors tells which host grants for a program, and where it is now: after a
// restart it may have another address than on the list that was last read.
type grantors struct{ *Router }

// Holder implements bvbudget.Grantors.
func (grantors grantors) Holder(program string) (bvlease.Host, bool) {
	holder, found := grantors.leases.Holder(program)
	if address, heard := grantors.gossip.AddressOf(holder.Name); found && heard {
		holder.Address = address.String()
	}
	return holder, found
}

// MayGrant implements bvbudget.Grantors.
func (grantors grantors) MayGrant(now bvclock.Time, program string, retain bvclock.Duration) bool {
	return grantors.leases.MayGrant(now, program, retain)
}

// Hear implements bvgossip.Handler.
func (handler peerHandler) Hear(digest *bvgossip.Digest) {
	placed := make([]bvdispatch.Placement, 0, len(digest.GetPlacements()))
	for _, placement := range digest.GetPlacements() {
		placed = append(placed, bvdispatch.Placement{
			Endpoint: placement.GetEndpoint(),
			Part:     bvroute.Part{Key: placement.GetPart(), Tokens: int(placement.GetTokens())},
		})
	}
	handler.desk.Place(placed)
	seen := make(map[uint64]bvdispatch.Report, len(digest.GetOutcomes()))
	for _, outcome := range digest.GetOutcomes() {
		seen[outcome.GetEndpoint()] = bvdispatch.Report{
			Ended: int(outcome.GetEnded()), Failed: int(outcome.GetFailed()), Paced: int(outcome.GetPaced()), Pace: int(outcome.GetPace()),
		}
	}
	handler.desk.Seen(seen)
	for _, crash := range digest.GetCrashes() {
		handler.desk.LearnCrash(bvdispatch.Crash{Request: crash.GetRequest(), Endpoint: crash.GetEndpoint()})
	}
	handler.budgets.Holds(digest.GetAddress(), digest.GetPrograms())
}

// maxHelpers is how many hosts are tried with one call to the store.
const maxHelpers = 2

// helpers returns a few hosts that reach the store, in random order.
func (router *Router) helpers() []string {
	var addresses []string
	for _, digest := range router.gossip.Heard() {
		if digest.GetStoreReachable() && !digest.GetLeaving() {
			addresses = append(addresses, digest.GetAddress())
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxHelpers)]
}

func (router *Router) receive() error {
	if err := router.gossip.Receive(peerHandler{router}); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
