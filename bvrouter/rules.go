package bvrouter

import (
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlease"
)

// grantRules is until when programs may run for which hosts granted by earlier rules. Hosts pass it on in their rows:
// those of hosts that have left, and of earlier processes, are gone. The zero value is of no such programs.
type grantRules [bvlease.CurrentRule]time.Time

// rule returns the rule by which a host grants.
func (row hostRow) rule() bvlease.Rule {
	switch {
	case !row.SmallGrants:
		return bvlease.GrantHalf
	case row.Rule == bvlease.GrantHalf:
		return bvlease.GrantThird
	}
	return row.Rule
}

// add adds what a row of the list states.
func (rules *grantRules) add(row hostRow, now time.Time) {
	for rule, until := range row.RuleUntil {
		rules.record(bvlease.Rule(rule), until)
	}
	// A host of an older build that is no grantor requests tokens by its rule all the same.
	rules.recordGrants(row.rule(), now)
}

// recordGrants records that a host follows a rule now.
func (rules *grantRules) recordGrants(rule bvlease.Rule, now time.Time) {
	rules.record(rule, now.Add(bvlease.TakeoverDelay.Std()+maxClockSkew))
}

func (rules *grantRules) record(rule bvlease.Rule, until time.Time) {
	if rule >= 0 && rule < bvlease.CurrentRule && until.After(rules[rule]) {
		rules[rule] = until
	}
}

// extend passes the times on to the leases.
func (rules *grantRules) extend(leases *bvlease.Leases, now bvclock.Time, wallTime time.Time) {
	for rule, until := range rules {
		if until.After(wallTime) {
			leases.ExtendRule(bvlease.Rule(rule), now.Add(bvclock.FromStd(until.Sub(wallTime))))
		}
	}
}
