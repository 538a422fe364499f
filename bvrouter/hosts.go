package bvrouter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlease"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvplatform"
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
	router.hostsKnown.Store(true)
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
	_, err := router.store.Commit(ctx, bvplatform.Transaction{
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
		page, err := router.store.Scan(ctx, hostsPrefix, after, hostsPage)
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
