package bvledger

import (
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// sighting is when this host first saw a head row in its present version.
type sighting struct {
	version int64
	at      bvclock.Time
}

// ReclaimScan looks through scanned head rows for programs that nobody ends:
// those whose owner is gone, or which this host owns and has forgotten, and
// which have been idle for their limit; and ended ones whose endpoints may
// still hold cache. It claims and ends them; the Commit and Release effects
// follow as for other programs.
//
// Hosts have no common clock, so idleness is how long this host has seen the
// row unchanged. A program without a limit of its own takes otherwise.
// Spread the rows over the hosts, so that each is seen by one of them; two
// that see the same lose nothing but a conditional write.
func (ledger *Ledger) ReclaimScan(
	now bvclock.Time, rows []bvplatform.Row, live func(owner string) bool, otherwise bvclock.Duration,
) {
	seen := make(map[string]sighting, len(rows))
	for _, row := range rows {
		key, ok := headKeyOf(row.Key)
		if !ok {
			continue
		}
		sight, found := ledger.sightings[row.Key]
		if !found || sight.version != row.Version {
			sight = sighting{version: row.Version, at: now}
		}
		seen[row.Key] = sight
		ledger.reclaim(now, key, row, sight, live, otherwise)
	}
	ledger.sightings = seen
}

func (ledger *Ledger) reclaim(
	now bvclock.Time, key ProgramKey, row bvplatform.Row, sight sighting,
	live func(owner string) bool, otherwise bvclock.Duration,
) {
	head, err := decode[head](row)
	if err != nil || ledger.programs[key] != nil {
		return
	}
	if head.Owner != ledger.owner && live(head.Owner) {
		return
	}
	if head.State.IsEnded() {
		if len(head.Endpoints) > 0 {
			ledger.reopen(now, key, row.Version, nil)
		}
		return
	}
	idle := either(head.Idle, otherwise)
	if idle > 0 && due(sight.at.Add(idle), now) {
		ledger.reopen(now, key, row.Version, &ending{state: EndedIdle})
	}
}

// reopen loads a program in order to end it or to release its endpoints.
func (ledger *Ledger) reopen(now bvclock.Time, key ProgramKey, version int64, ending *ending) {
	program := ledger.open(key)
	program.activeAt = now
	program.ending = ending
	program.sighted = version
	program.reclaimed = ending == nil
	ledger.load(program, "")
	ledger.schedule(program)
}

func headKeyOf(name string) (ProgramKey, bool) {
	rest, ok := strings.CutPrefix(name, HeadTable)
	if !ok {
		return ProgramKey{}, false
	}
	member, program, ok := strings.Cut(rest, "/")
	if !ok {
		return ProgramKey{}, false
	}
	return unescape(member, program)
}
