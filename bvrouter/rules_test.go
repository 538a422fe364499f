package bvrouter

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlease"
)

// decodeHostRow decodes a row of the list of hosts.
func decodeHostRow(t *testing.T, encoded string) (row hostRow) {
	require.NoError(t, json.Unmarshal([]byte(encoded), &row))
	return row
}

// Guards against rows of older builds that are taken for rows of this one.
func TestRowsOfOlderBuildsHaveTheirRules(t *testing.T) {
	require.Equal(t, bvlease.GrantHalf, decodeHostRow(t, `{"grantor":true}`).rule())
	require.Equal(t, bvlease.GrantThird, decodeHostRow(t, `{"grantor":true,"small_grants":true}`).rule())
	require.Equal(t, bvlease.GrantThirdUnlessRetained, decodeHostRow(t, `{"small_grants":true,"rule":2}`).rule())
}

// Guards against a budget that is exceeded after all hosts of an older build were killed and replaced, one of them by
// another that never saw their rows.
func TestRuleOfHostsThatWereKilledIsPassedOn(t *testing.T) {
	now := time.Now()
	var first grantRules
	first.add(decodeHostRow(t, `{"grantor":true,"small_grants":true}`), now)
	encoded, err := json.Marshal(hostRow{SmallGrants: true, Rule: bvlease.CurrentRule, RuleUntil: first})
	require.NoError(t, err)

	var later grantRules
	passed := now.Add(time.Minute)
	later.add(decodeHostRow(t, string(encoded)), passed)
	leases := bvlease.New(bvlease.Host{Name: "new"}, false, 0)
	later.extend(leases, 0, passed)
	end := bvclock.Time(0).Add(bvlease.TakeoverDelay - bvclock.Minute)
	require.Equal(t, bvlease.GrantThird, leases.OldestRule(end))
	require.Equal(t, bvlease.CurrentRule, leases.OldestRule(end.Add(bvclock.FromStd(maxClockSkew))))
}

// Guards against a time that grows each time it is passed on, so that an older rule holds for good.
func TestRuleIsNotExtendedByPassingItOn(t *testing.T) {
	now := time.Now()
	var rules grantRules
	rules.add(decodeHostRow(t, `{"grantor":true}`), now)
	for range 3 {
		var next grantRules
		next.add(hostRow{SmallGrants: true, Rule: bvlease.CurrentRule, RuleUntil: rules}, now.Add(time.Hour))
		rules = next
	}
	require.True(t, rules[bvlease.GrantHalf].Before(now.Add(time.Hour)))
}

// Guards against rows of builds with more rules, which must not be unreadable.
func TestRowOfANewerBuildIsReadable(t *testing.T) {
	row := decodeHostRow(t, `{"small_grants":true,"rule":5,"rule_until":["2026-01-01T00:00:00Z","2026-01-01T00:00:00Z","2026-01-01T00:00:00Z","2026-01-01T00:00:00Z"]}`)
	var rules grantRules
	rules.add(row, time.Now())
	require.Equal(t, bvlease.Rule(5), row.rule())
}

// Guards against a program whose tokens a host of an older build requests as if its turns were not retained.
func TestOlderHostThatGrantsNothingHasItsRuleToo(t *testing.T) {
	now := time.Now()
	var rules grantRules
	rules.add(decodeHostRow(t, `{"grantor":false,"small_grants":true}`), now)
	require.True(t, rules[bvlease.GrantThird].After(now))
	rules = grantRules{}
	rules.add(hostRow{SmallGrants: true, Rule: bvlease.CurrentRule}, now)
	require.Zero(t, rules)
}
