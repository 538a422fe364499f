package bvledger

import (
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// observation is the version of a head row and when this host first read it.
type observation struct {
	version int64
	at      bvclock.Time
}

// ReclaimScan searches scanned head rows for programs that no other host will end: those
// that have been idle for their limit and whose owner has failed, or whose row names
// this host although it no longer holds them; and ended ones whose endpoints may still
// hold cache. It claims and ends them; the Commit and Release effects follow as for
// other programs.
//
// Hosts have no common clock, so the idle time is how long this host has read the same
// version of the row. A program without a limit of its own uses defaultIdle. Distribute
// the rows over the hosts, so that each row is scanned by one of them; if two hosts scan
// the same row, the only cost is a failed conditional write.
func (ledger *Ledger) ReclaimScan(
	now bvclock.Time, rows []bvplatform.Row, isLive func(owner string) bool, defaultIdle bvclock.Duration,
) {
	current := make(map[string]observation, len(rows))
	for _, row := range rows {
		key, ok := parseHeadKey(row.Key)
		if !ok {
			continue
		}
		observed, found := ledger.observations[row.Key]
		if !found || observed.version != row.Version {
			observed = observation{version: row.Version, at: now}
		}
		current[row.Key] = observed
		ledger.reclaim(now, key, row, observed, isLive, defaultIdle)
	}
	ledger.observations = current
}

func (ledger *Ledger) reclaim(
	now bvclock.Time, key ProgramKey, row bvplatform.Row, observed observation,
	isLive func(owner string) bool, defaultIdle bvclock.Duration,
) {
	head, err := decode[head](row)
	if err != nil || ledger.programs[key] != nil {
		return
	}
	if head.Owner != ledger.owner && isLive(head.Owner) {
		return
	}
	if head.State.IsEnded() {
		if len(head.Endpoints) > 0 {
			ledger.reopen(now, key, row.Version, nil)
		}
		return
	}
	idle := valueOr(head.Idle, defaultIdle)
	if idle > 0 && isDue(observed.at.Add(idle), now) {
		ledger.reopen(now, key, row.Version, &ending{state: EndedIdle})
	}
}

// reopen loads a program in order to end it or to release its endpoints.
func (ledger *Ledger) reopen(now bvclock.Time, key ProgramKey, version int64, ending *ending) {
	program := ledger.openProgram(key)
	program.activeAt = now
	program.ending = ending
	program.observedVersion = version
	program.claimRequested = ending == nil
	ledger.loadProgram(program, "")
	ledger.schedule(program)
}

func parseHeadKey(name string) (ProgramKey, bool) {
	rest, ok := strings.CutPrefix(name, HeadTable)
	if !ok {
		return ProgramKey{}, false
	}
	member, program, ok := strings.Cut(rest, "/")
	if !ok {
		return ProgramKey{}, false
	}
	return unescapeKey(member, program)
}
