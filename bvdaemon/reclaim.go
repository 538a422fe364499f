package bvdaemon

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// Parameters of the scan for abandoned programs.
const (
	reclaimInterval = 30 * bvclock.Second
	reclaimPageRows = 500
	reclaimKey      = "reclaim"
)

// reclaimPrograms scans for programs of failed hosts that no caller continues: they
// would hold engine memory indefinitely. One host scans for all; if two hosts scan
// because their views differ, a conditional write decides which one succeeds.
func (daemon *Daemon) reclaimPrograms(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reclaimInterval)
		first := daemon.view.Candidates(daemon.clock.Now(), reclaimKey)[0]
		if first.Name != daemon.Name() {
			continue
		}
		rows, err := daemon.headRows(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			daemon.log.WithError(err).Warn("programs could not be scanned")
			continue
		}
		daemon.owner.ReclaimPrograms(rows, daemon.ownerIsLive)
	}
}

func (daemon *Daemon) headRows(ctx context.Context) ([]bvplatform.Row, error) {
	var rows []bvplatform.Row
	after := ""
	for {
		page, err := daemon.platform.Scan(ctx, bvledger.HeadTable, after, reclaimPageRows)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < reclaimPageRows {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

// ownerIsLive reports whether a row's owner is a host that is listed with the
// same incarnation.
func (daemon *Daemon) ownerIsLive(owner string) bool {
	for _, host := range daemon.view.Hosts() {
		if ownerName(host) == owner {
			return true
		}
	}
	return false
}

// ownerName returns the owner that a host's ledger writes in its rows.
func ownerName(host bvplatform.Host) string {
	return host.Name + "/" + host.Incarnation
}
