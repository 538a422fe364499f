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
	"balsamvalve.example/bvmechanism"
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
	firstHostsReads    = 7
	// mostHostsFailures is after how many failures in a row to get the list from other
	// hosts a host reads a large list itself.
	maxHostsFailures = 3
	// hostsPage is how many rows of it are read at once: as many as the platform
	// gives in one answer.
	hostsPageRows = 500
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
	outage := bvlog.Outage{What: "list of hosts", Log: router.log}
	for reads := 0; ctx.Err() == nil; reads++ {
		// The list is read first: it tells whether a write took effect whose
		// answer was lost.
		err := router.readHosts(ctx)
		if err == nil && router.isListingDue() {
			err = router.listSelf(ctx)
		}
		outage.Note(unlessCanceled(ctx, err))
		if reads < firstHostsReads || err != nil || !router.isOnList || router.isFirstListDue() {
			pause(ctx, firstHostsInterval)
			continue
		}
		pause(ctx, hostsInterval)
	}
}

// firstListIsDue reports whether the list is still to be read that shows all hosts of the
// system's first start. A list that other hosts read comes with their age.
func (router *Router) isFirstListDue() bool {
	return router.settings.FirstStart && router.hostsAsOf.Sub(router.started) < bvlease.FirstReadDelay
}

// mustList reports whether this host is to be listed, or listed anew: its row may
// have been removed while it was cut off, or it has become old enough to grant.
func (router *Router) isListingDue() bool {
	becomesGrantor := !router.listedAsGrantor && router.clock.Now().Sub(router.started) > minGrantorAge
	return !router.leaving.Load() && (!router.isOnList || becomesGrantor)
}

// readHosts reads the list of hosts and hands it on.
func (router *Router) readHosts(ctx context.Context) error {
	hosts, asOf, err := router.queryHostList(ctx)
	if err != nil || !asOf.After(router.hostsAsOf) {
		return err // an older list than this host has is no news
	}
	addresses := make([]netip.AddrPort, 0, len(hosts))
	grantors := make([]bvlease.Host, 0, len(hosts))
	isOnList := asOf.Before(router.listedAt) // it can't show this host yet
	for _, host := range hosts {
		address, err := netip.ParseAddrPort(host.Row.Address)
		if err != nil {
			return fmt.Errorf("router: row %s of the list of hosts: %w", host.Key, err)
		}
		if host.Row.Grantor {
			grantors = append(grantors, bvlease.Host{
				Name: strings.TrimPrefix(host.Key, hostsPrefix), Incarnation: host.Row.Incarnation, Address: host.Row.Address,
			})
		}
		if host.Row.Incarnation == router.incarnation {
			isOnList = true
			router.recordListed(host.Version, host.Row.Grantor)
		}
		if host.Row.Address != router.settings.PeerAddress {
			addresses = append(addresses, address)
		}
	}
	router.isOnList = isOnList // noteListed compares with the look before
	router.gossip.SetHosts(addresses)
	router.storeHosts(hosts, asOf)
	router.logReaderRole()
	router.leases.UpdateList(asOf, router.clock.Now(), grantors)
	return nil
}

// noteReads logs when this host begins or ends to read for others.
func (router *Router) logReaderRole() {
	isReader := router.IsReader()
	if isReader != router.wasReader {
		router.wasReader = isReader
		router.log.WithFields(logrus.Fields{"reads": isReader, "hosts": len(router.hosts.Load().hosts)}).
			Info("reader of its availability zone")
	}
}

// askHosts returns the list of hosts, and a moment since which it may have changed. In a
// large fleet it comes from another host, unless this one reads for others.
func (router *Router) queryHostList(ctx context.Context) (hosts []listedHost, asOf bvclock.Time, err error) {
	asOf = router.clock.Now()
	if router.settings.Without.Has(bvmechanism.Readers) {
		hosts, _, err = router.scanHosts(ctx, 0)
		router.unlistSilent(ctx, hosts)
		return hosts, asOf, err
	}
	if !router.sources().isLarge() {
		hosts, complete, err := router.scanHosts(ctx, maxDirectHosts+1)
		if err != nil || complete {
			router.unlistSilent(ctx, hosts)
			return hosts, asOf, err
		}
		router.usePartialHostList(hosts)
	}
	if known := router.sources(); !known.isReader() {
		hosts, asOf, err := router.fetchHostsFrom(ctx, known.candidates())
		if err == nil || router.hostsAsOf == 0 && router.hostsFailures < maxHostsFailures {
			return hosts, asOf, err
		}
		router.log.WithError(err).Debug("list of hosts not read from another host")
	}
	hosts, _, err = router.scanHosts(ctx, 0)
	router.unlistSilent(ctx, hosts)
	return hosts, asOf, err
}

// joinLargeFleet takes in a part of the list, which tells whom to ask for all of it.
func (router *Router) usePartialHostList(hosts []listedHost) {
	if router.hostsAsOf == 0 {
		var addresses []netip.AddrPort
		for _, host := range hosts {
			if address, err := netip.ParseAddrPort(host.Row.Address); err == nil && host.Row.Address != router.settings.PeerAddress {
				addresses = append(addresses, address)
			}
		}
		router.gossip.SetHosts(addresses)
	}
	router.storeHosts(hosts, 0)
}

// scanHosts reads the list page by page, and reports whether it was read whole. It ends
// after so many hosts; 0: at the list's end. A host that is listed while the pages are
// read may be missing, as it may have been listed just after.
func (router *Router) scanHosts(ctx context.Context, limit int) (hosts []listedHost, complete bool, err error) {
	pageRows := hostsPageRows
	if limit > 0 {
		pageRows = min(pageRows, limit)
	}
	after := ""
	for {
		page, err := router.store.Scan(ctx, hostsPrefix, after, pageRows)
		if err != nil {
			return nil, false, err
		}
		for _, row := range page {
			host := listedHost{Key: row.Key, Version: row.Version}
			if err := json.Unmarshal(row.Value, &host.Row); err != nil {
				return nil, false, fmt.Errorf("router: row %s of the list of hosts: %w", row.Key, err)
			}
			hosts = append(hosts, host)
		}
		if len(page) < pageRows {
			return hosts, true, nil
		}
		if limit > 0 && len(hosts) >= limit {
			return hosts, false, nil
		}
		after = page[len(page)-1].Key
	}
}

// deadAfter is how long a host may be silent before it is taken off the list. One
// that was only cut off lists itself again once it has read the list.
const unlistAfter = 10 * bvclock.Minute

// unlistDead takes hosts off the list that were not heard for long. Hosts that die
// for good don't do so themselves, and their programs would have no grantor.
func (router *Router) unlistSilent(ctx context.Context, hosts []listedHost) {
	for _, host := range hosts {
		address, err := netip.ParseAddrPort(host.Row.Address)
		if err != nil || host.Row.Address == router.settings.PeerAddress {
			continue // one that can't be read is told of when the list is taken over
		}
		silent := router.gossip.SilentFor(address, router.started)
		if silent < unlistAfter {
			continue
		}
		_, err = router.store.Commit(ctx, bvplatform.Transaction{
			Checks: []bvplatform.Check{{Key: host.Key, Version: host.Version}},
			Puts:   []bvplatform.Put{{Key: host.Key}},
		})
		router.log.WithError(err).WithFields(logrus.Fields{"row": host.Key, "silent_ms": int64(silent)}).Info("silent host taken off the list")
	}
}
