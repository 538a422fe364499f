package bvdaemon

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// How programs that nobody ends are looked for.
const (
	reclaimInterval = 30 * bvclock.Second
	reclaimPage     = 500
	reclaimPlace    = "reclaim"
)

// reclaim looks for programs of dead hosts that nobody will call again: they
// would hold engine memory for ever. One host looks for all; when two have
// different views and both look, a conditional write decides.
func (daemon *Daemon) reclaim(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reclaimInterval)
		first := daemon.view.Candidates(daemon.clock.Now(), reclaimPlace)[0]
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
		page, err := daemon.platform.Scan(ctx, bvledger.HeadTable, after, reclaimPage)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < reclaimPage {
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

// ownerName is how a host's ledger signs its rows.
func ownerName(host bvplatform.Host) string {
	return host.Name + "/" + host.Incarnation
}
