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

// handoversPrefix is where hosts that stop as planned leave what they granted.
const handoversPrefix = "handovers//"

const (
	// handoverShare is the part of a row that a handover may fill, in case that
	// the limit counts the encoded bytes. A program takes some 70 bytes.
	maxHandoverShare = 0.7
	// clockSkew is the most by which the time of day of two processes may differ
	// for a handover to be taken up: hosts' clocks differ by 5 s at most.
	maxClockSkew = 5 * time.Second
)

// handover is what the next process of a host needs to go on granting. Nobody
// else grants for its programs while the host is away, so that all is still true
// when the next process takes it up.
type handover struct {
	Stopped time.Time             `json:"stopped"`
	Known   bvlease.KnownHosts    `json:"known"` // hosts
	Granted []bvbudget.GrantState `json:"granted"`
}

// retire stops granting, and takes this host off the list. With the same
// transaction it leaves what it granted, if the next process may go on from it.
//
// Without that, hosts that are restarted in turn would leave no grantor behind,
// and programs could not begin in an outage of the store that follows.
func (router *Router) retire(ctx context.Context) {
	knownHosts, canHandOver := router.leases.Stop(router.clock.Now())
	version := router.listedVersion.Load()
	if version == 0 {
		return // never listed
	}
	// The condition keeps a write that is carried out late from taking the next
	// process off the list.
	key := hostsPrefix + router.settings.Name
	transaction := bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: key, Version: version}},
		Puts:   []bvplatform.Put{{Key: key}},
	}
	if canHandOver {
		transaction.Puts = append(transaction.Puts, router.handoverPuts(knownHosts)...)
	}
	if _, err := router.store.Commit(ctx, transaction); err != nil {
		router.log.WithError(err).Info("host stays listed, and hands nothing over")
		return
	}
	router.log.WithField("granting", canHandOver).Info("host is off the list")
}

// leftBehind is the row of a handover, if it fits into one.
func (router *Router) handoverPuts(known bvlease.KnownHosts) []bvplatform.Put {
	encoded, err := json.Marshal(handover{Stopped: time.Now(), Known: known, Granted: router.budgets.ExportGrants()})
	if err != nil || len(encoded) > int(maxHandoverShare*float64(router.settings.RowBytes)) {
		router.log.WithError(err).WithField("bytes", len(encoded)).Warn("grants are too many to be handed over")
		return nil
	}
	return []bvplatform.Put{{Key: handoversPrefix + router.settings.Name, Value: encoded}}
}

// listSelf lists this host, and goes on from what its last process left behind.
// Taking it up removes it, so that a process that dies leaves nothing.
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

// noteListed notes that this host's row is in the list, as the answer to its
// writing told, or the list itself where that answer was lost: when many hosts
// start at once, the store takes longer than it usually does.
func (router *Router) recordListed(version int64, grantor bool) {
	previous := router.listedVersion.Swap(version)
	if version == previous || router.isOnList && grantor == router.listedAsGrantor {
		return // the same row, or the same written again by a call that came late
	}
	router.listedAsGrantor = grantor
	inherited := router.previousHandover != nil && grantor
	if inherited {
		router.budgets.ImportGrants(router.previousHandover.Granted)
		router.leases.Inherit(router.clock.Now(), router.previousHandover.Known)
	}
	router.previousHandover = nil
	if grantor {
		router.leases.RecordWrite(router.clock.Now())
	}
	router.log.WithFields(logrus.Fields{"grantor": grantor, "inherited": inherited}).Info("host is listed")
}

// newcomerTime is how long a host runs before it becomes a grantor, unless it was
// there from the first start or goes on from its last process. A new grantor's
// programs have none for some minutes, so that hosts which come and go should not
// become one.
const minGrantorAge = 10 * bvclock.Minute

// usable decodes a handover and reports whether this process may go on from it.
// Only what is found at the first look is of the last process.
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

// ownRow is this host's row in the list.
func (router *Router) hostRowPut(grantor bool) bvplatform.Put {
	encoded, _ := json.Marshal(hostRow{ // texts always encode
		Address: router.settings.PeerAddress, Zone: router.settings.Zone, Incarnation: router.incarnation, Grantor: grantor,
	})
	return bvplatform.Put{Key: hostsPrefix + router.settings.Name, Value: encoded}
}
