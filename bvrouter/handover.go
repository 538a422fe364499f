package bvrouter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvbudget"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlease"
	"balsamvalve.example/bvplatform"
)

// handoversPrefix is the key prefix under which hosts that stop gracefully store their
// grants.
const handoversPrefix = "handovers//"

const (
	// maxHandoverShare is the share of the row limit that a handover may fill, in case the
	// limit applies to the encoded row.
	maxHandoverShare = 0.7
	// grantBytes is an upper bound of the size of a grant in a handover.
	grantBytes = 125
	// maxClockSkew is the maximum difference of the wall clocks of two processes in the
	// check of a handover's age: hosts' clocks differ by 5 s at most.
	maxClockSkew = 5 * time.Second
)

// handover is the state that a host's next process needs to continue granting. No other
// host grants for its programs while the host is down, so the state is still valid when
// the next process loads it.
type handover struct {
	Stopped time.Time             `json:"stopped"`
	Known   bvlease.KnownHosts    `json:"known"` // hosts
	Granted []bvbudget.GrantState `json:"granted"`
	// SmallGrants and Rule are those of the host's row.
	SmallGrants bool         `json:"small_grants"`
	Rule        bvlease.Rule `json:"rule"`
}

// retire stops granting and removes this host from the list. The same transaction stores
// the handover, if the next process may continue from it.
//
// Without handovers, a rolling restart would leave no grantors, and programs could not
// start in an outage of the store that follows.
func (router *Router) retire(ctx context.Context) {
	knownHosts, canHandOver := router.leases.Stop(router.clock.Now())
	version := router.listedVersion.Load()
	if version == 0 {
		return // this host was never listed
	}
	// The check keeps a write that takes effect late from removing the next process from
	// the list.
	key := hostsPrefix + router.settings.Name
	transaction := bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: key, Version: version}},
		Puts:   []bvplatform.Put{{Key: key}},
	}
	if canHandOver {
		transaction.Puts = append(transaction.Puts, router.handoverPuts(knownHosts)...)
	}
	if _, err := router.store.Commit(ctx, transaction); err != nil {
		router.log.WithError(err).Info("host stays listed; handover not stored")
		return
	}
	router.log.WithField("granting", canHandOver).Info("host is off the list")
}

// handoverPuts returns the write of the handover row, or nothing if it doesn't fit into one.
func (router *Router) handoverPuts(known bvlease.KnownHosts) []bvplatform.Put {
	limit := int(maxHandoverShare * float64(router.settings.MaxRowBytes))
	var encoded []byte
	for _, most := range []int{limit / grantBytes, 0} {
		var err error
		encoded, err = json.Marshal(handover{Stopped: time.Now(), Known: known, Granted: router.budgets.ExportGrants(most), SmallGrants: true, Rule: bvlease.CurrentRule})
		if err == nil && len(encoded) <= limit {
			return []bvplatform.Put{{Key: handoversPrefix + router.settings.Name, Value: encoded}}
		}
	}
	router.log.WithField("bytes", len(encoded)).Warn("grants exceed the size of a handover")
	return nil
}

// listSelf adds this host to the list, and continues from the handover of its last process.
// Loading a handover deletes it, so that a process that crashes later leaves none.
func (router *Router) listSelf(ctx context.Context) error {
	key := handoversPrefix + router.settings.Name
	rows, err := router.store.Read(ctx, key)
	if err != nil {
		return err
	}
	if previous, usable := router.decodeHandover(rows[0]); usable {
		router.previousHandover = &previous
	}
	grantor := router.previousHandover != nil || router.settings.FirstStart || router.clock.Now().Sub(router.started) > minGrantorAge
	transaction := bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: key, Version: rows[0].Version}},
		Puts:   []bvplatform.Put{router.hostRowPut(grantor)},
	}
	if rows[0].Version != 0 {
		transaction.Puts = append(transaction.Puts, bvplatform.Put{Key: key})
	}
	version, err := router.store.Commit(ctx, transaction)
	if err != nil {
		return err
	}
	router.listedAt = router.clock.Now()
	router.recordListed(version, grantor)
	return nil
}

// recordListed records that this host's row is on the list. That is known from the answer
// to the write, or from the list itself if that answer was lost: the store is slow while
// many hosts start at once.
func (router *Router) recordListed(version int64, grantor bool) {
	previous := router.listedVersion.Swap(version)
	if version == previous || router.isOnList && grantor == router.listedAsGrantor {
		return // the same row, or the same one written again by a delayed call
	}
	router.listedAsGrantor = grantor
	inherited := router.previousHandover != nil && grantor
	if inherited {
		router.budgets.ImportGrants(router.previousHandover.Granted)
		router.leases.Inherit(router.clock.Now(), router.previousHandover.Known)
		previous := hostRow{SmallGrants: router.previousHandover.SmallGrants, Rule: router.previousHandover.Rule}
		router.rules.recordGrants(previous.rule(), time.Now())
		router.rules.extend(router.leases, router.clock.Now(), time.Now())
	}
	router.previousHandover = nil
	if grantor {
		router.leases.RecordWrite(router.clock.Now())
	}
	router.log.WithFields(logrus.Fields{"grantor": grantor, "inherited": inherited}).Info("host is listed")
}

// minGrantorAge is how long a host runs before it becomes a grantor, unless it has run
// since the system's first start or continues from a handover. The programs that move to a
// new grantor have none for some minutes, so hosts that run only briefly should not become
// one.
const minGrantorAge = 10 * bvclock.Minute

// decodeHandover decodes a handover and reports whether this process may continue from it.
// Once this process has been listed, a handover is not its predecessor's.
func (router *Router) decodeHandover(row bvplatform.Row) (handover, bool) {
	if row.Version == 0 || router.listedVersion.Load() != 0 {
		return handover{}, false
	}
	var previous handover
	if err := json.Unmarshal(row.Value, &previous); err != nil {
		router.log.WithError(err).Warn("handover can't be read")
		return handover{}, false
	}
	age := time.Since(previous.Stopped)
	return previous, age > -maxClockSkew && age+maxClockSkew < bvlease.MaxHandoverAge.Std()
}

// hostRowPut returns the write of this host's row in the list.
func (router *Router) hostRowPut(grantor bool) bvplatform.Put {
	encoded, _ := json.Marshal(hostRow{ // strings always encode
		Address: router.settings.PeerAddress, Zone: router.settings.Zone, Incarnation: router.incarnation, Grantor: grantor,
		Origins: true, SmallGrants: true, Rule: bvlease.CurrentRule, RuleUntil: router.rules,
	})
	return bvplatform.Put{Key: hostsPrefix + router.settings.Name, Value: encoded}
}
