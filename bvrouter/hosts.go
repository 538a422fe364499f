package bvrouter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlease"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
)

const (
	// hostsPrefix is the key prefix of the list of hosts in the platform's store.
	hostsPrefix = "hosts//"
	// hostsInterval is the time between two reads of that list. Hosts also discover each
	// other by their first digests.
	hostsInterval = 10 * bvclock.Second
	// firstHostsInterval is the same for the first reads, until all hosts that started
	// together are certain to be on the list.
	firstHostsInterval = bvclock.Second
	firstHostsReads    = 7
	// maxHostsFailures is the number of consecutive failures to get the list from other
	// hosts after which a host reads a large list itself.
	maxHostsFailures = 3
	// hostsPageRows is the number of rows read at once: the platform's maximum for one
	// answer.
	hostsPageRows = 500
)

// hostRow is a host's row in the list.
type hostRow struct {
	Address     string `json:"address"` // IP:port for digests and relayed calls
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"` // differs for each start of the process
	Grantor     bool   `json:"grantor"`     // grants for a share of all programs
	// Origins: it stores the origins at which it begins streams, which older builds don't.
	Origins bool `json:"origins"`
	// SmallGrants: it grants a third of a budget from memory at most; older builds grant half.
	SmallGrants bool `json:"small_grants"`
	// Rule is the rule by which it grants; builds that grant a third for all programs have none.
	Rule bvlease.Rule `json:"rule"`
	// RuleUntil is until when programs may run for which hosts granted by earlier rules, as far as this host knew when
	// it listed itself.
	RuleUntil grantRules `json:"rule_until,omitzero"`
}

// followHosts adds this host to the list and reads the list regularly.
func (router *Router) followHosts(ctx context.Context) {
	outage := bvlog.Outage{Dependency: "list of hosts", Log: router.log}
	for reads := 0; ctx.Err() == nil; reads++ {
		// The list is read first: it shows whether a write whose answer was lost has
		// taken effect.
		err := router.readHosts(ctx)
		if err == nil && router.isListingDue() {
			err = router.listSelf(ctx)
		}
		outage.Record(unlessCanceled(ctx, err))
		if reads < firstHostsReads || err != nil || !router.isOnList || router.isFirstListDue() {
			pause(ctx, firstHostsInterval)
			continue
		}
		pause(ctx, hostsInterval)
	}
}

// isFirstListDue reports whether this host has not yet read a list that has all hosts of the
// system's first start. A list from another host may be older than this host's read of it.
func (router *Router) isFirstListDue() bool {
	return router.settings.FirstStart && router.hostsAsOf.Sub(router.started) < bvlease.FirstReadDelay
}

// isListingDue reports whether this host must write its row, again if it has done so
// before: the row may have been removed while the host was unreachable, or the host has
// become old enough to grant.
func (router *Router) isListingDue() bool {
	becomesGrantor := !router.listedAsGrantor && router.clock.Now().Sub(router.started) > minGrantorAge
	return !router.leaving.Load() && (!router.isOnList || becomesGrantor)
}

// readHosts reads the list of hosts and distributes it within this host.
func (router *Router) readHosts(ctx context.Context) error {
	hosts, asOf, err := router.queryHostList(ctx)
	if err != nil || !asOf.After(router.hostsAsOf) {
		return err // a list older than this host's is ignored
	}
	addresses := make([]netip.AddrPort, 0, len(hosts))
	grantors := make([]bvlease.Host, 0, len(hosts))
	isOnList := asOf.Before(router.listedAt) // it can't contain this host yet
	for _, host := range hosts {
		address, err := netip.ParseAddrPort(host.Row.Address)
		if err != nil {
			return fmt.Errorf("router: row %s of the list of hosts: %w", host.Key, err)
		}
		router.rules.add(host.Row, time.Now())
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
	router.isOnList = isOnList // recordListed above needs the previous value
	router.gossip.SetHosts(addresses)
	router.setHosts(hosts, asOf)
	router.logReaderRole()
	router.leases.UpdateList(asOf, router.clock.Now(), grantors)
	router.rules.extend(router.leases, router.clock.Now(), time.Now())
	return nil
}

// logReaderRole logs when this host starts or stops reading for others.
func (router *Router) logReaderRole() {
	isReader := router.IsReader()
	if isReader != router.wasReader {
		router.wasReader = isReader
		router.log.WithFields(logrus.Fields{"reads": isReader, "hosts": len(router.hosts.Load().hosts)}).
			Info("reader of its availability zone")
	}
}

// queryHostList returns the list of hosts, and a time since which it may have changed. In a
// large fleet it comes from another host, unless this one reads for others.
func (router *Router) queryHostList(ctx context.Context) (hosts []listedHost, asOf bvclock.Time, err error) {
	asOf = router.clock.Now()
	if router.settings.Disabled.Has(bvmechanism.Readers) {
		hosts, _, err = router.scanHosts(ctx, 0)
		router.unlistSilentHosts(ctx, hosts)
		return hosts, asOf, err
	}
	if !router.fleet().isLarge() {
		hosts, complete, err := router.scanHosts(ctx, maxDirectHosts+1)
		if err != nil || complete {
			router.unlistSilentHosts(ctx, hosts)
			return hosts, asOf, err
		}
		router.usePartialHostList(hosts)
	}
	if fleet := router.fleet(); !fleet.isReader() {
		hosts, asOf, err := router.fetchHostsFrom(ctx, fleet.candidates())
		if err == nil || router.hostsAsOf == 0 && router.hostsFailures < maxHostsFailures {
			return hosts, asOf, err
		}
		router.log.WithError(err).Debug("list of hosts not read from another host")
	}
	hosts, _, err = router.scanHosts(ctx, 0)
	router.unlistSilentHosts(ctx, hosts)
	return hosts, asOf, err
}

// usePartialHostList stores a part of the list, whose hosts can then be queried for the
// full list.
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
	router.setHosts(hosts, 0)
}

// scanHosts reads the list page by page, up to limit hosts (0: all), and reports whether it
// read the full list. A host that is added while the pages are read may be missing, as if
// it had been added just afterwards.
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

// unlistAfter is how long a host may be silent before it is removed from the list. A host
// that was only unreachable adds itself again when it reads the list.
const unlistAfter = 10 * bvclock.Minute

// unlistSilentHosts removes hosts from the list that have been silent for long. Hosts that fail
// permanently don't remove themselves, and their programs would have no grantor.
func (router *Router) unlistSilentHosts(ctx context.Context, hosts []listedHost) {
	for _, host := range hosts {
		address, err := netip.ParseAddrPort(host.Row.Address)
		if err != nil || host.Row.Address == router.settings.PeerAddress {
			continue // readHosts reports a row that can't be read
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
