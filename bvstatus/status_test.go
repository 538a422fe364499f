package bvstatus

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

func twoReports() []Report {
	return []Report{
		{Host: "host-2", Version: 6, Member: MemberReport{
			Known: true, Programs: 1, Refusals: map[string]int64{"not run/overloaded": 2},
		}, Endpoints: []EndpointReport{{Endpoint: "engine-1", Running: 1}}},
		{Host: "host-1", Version: 7, Member: MemberReport{
			Known: true, Programs: 2, Running: 1, Work: 120, Refusals: map[string]int64{"not run/overloaded": 1},
		}, Endpoints: []EndpointReport{{Endpoint: "engine-1", Running: 2, Ejected: true}}},
		NewSilentReport("host-3", "koper", "live"),
	}
}

func mergeFor(member string) Status {
	return Merge(member, []Endpoint{{Name: "engine-1", Slots: 8}},
		[]Member{{Name: "piran", Share: 60}, {Name: "bolts", Share: 40}}, twoReports())
}

func TestMergeSumsTheHostsReports(t *testing.T) {
	status := mergeFor("piran")
	require.Equal(t, int64(7), status.Version)
	require.Equal(t, []string{"host-1", "host-2", "host-3"},
		[]string{status.Hosts[0].Name, status.Hosts[1].Name, status.Hosts[2].Name})
	require.True(t, status.Hosts[1].Behind)
	require.False(t, status.Hosts[2].Answered)
	require.Equal(t, Endpoint{Name: "engine-1", Running: 3, Slots: 8, Ejected: true}, status.Endpoints[0])
	details := &MemberDetails{Work: 120, Running: 1, Programs: 3, Refusals: map[string]int64{"not run/overloaded": 3}}
	require.Equal(t, Member{Name: "piran", Share: 60, Details: details}, status.Members[1])
}

func TestStatusShowsOnlyTheShareOfOtherMembers(t *testing.T) {
	require.Equal(t, Member{Name: "bolts", Share: 40}, mergeFor("piran").Members[0])
}

func TestAdminsMemberWithoutProgramsIsNotListed(t *testing.T) {
	status := Merge("consortium", nil, []Member{{Name: "piran", Share: 100}}, []Report{{Host: "host-1"}})
	require.Equal(t, []Member{{Name: "piran", Share: 100}}, status.Members)
}

func TestMemberIsListedBeforeTheFirstTable(t *testing.T) {
	status := Merge("piran", nil, nil, twoReports())
	require.Len(t, status.Members, 1)
	require.Equal(t, 3, status.Members[0].Details.Programs)
}

func TestGatherKeepsTheListedEntryOfAHostThatDoesNotAnswer(t *testing.T) {
	hosts := []Report{NewSilentReport("host-1", "piran", "live"), NewSilentReport("host-2", "koper", "leaving")}
	reports := Gather(context.Background(), hosts, func(ctx context.Context, host string) (Report, error) {
		if host == "host-2" {
			<-ctx.Done()
			return Report{}, ctx.Err()
		}
		return Report{Host: host, Version: 3}, nil
	})
	require.Equal(t, []Report{{Host: "host-1", Version: 3}, hosts[1]}, reports)
}

func TestPrintNamesTheHostThatDidNotAnswer(t *testing.T) {
	var output bytes.Buffer
	status := mergeFor("piran")
	require.NoError(t, status.Print(&output))
	require.Regexp(t, `host-3 +koper +live +\? +no answer`, output.String())
	require.Regexp(t, `(?m)^bolts +40% *$\npiran +60% +120 +0 +1 +3 +3$`, output.String())
	require.Regexp(t, `host-2 .*6 \(behind\)`, output.String())
}

func TestPrintStaysWithinItsWidth(t *testing.T) {
	long := strings.Repeat("š", 100)
	status := Status{
		Member:    long,
		Host:      long,
		Version:   1234567890,
		Hosts:     []Host{{Name: long, Zone: long, State: "leaving", Answered: true, Version: 1234567, Behind: true, Refusing: true}},
		Endpoints: []Endpoint{{Name: long, Kind: "service", Serves: long, Zone: long, State: "leaving", Running: 100, Slots: 256}},
		Members: []Member{{Name: long, Share: 33.333333333, Details: &MemberDetails{
			Work: 1234567, Queued: 99999, Running: 9999, Programs: 140000, Refusals: map[string]int64{long: 1 << 40},
		}}},
		Counters: map[string]int64{long: 1 << 60},
	}
	var output bytes.Buffer
	require.NoError(t, status.Print(&output))
	for line := range strings.Lines(output.String()) {
		require.LessOrEqual(t, utf8.RuneCountInString(strings.TrimRight(line, "\n")), Width, line)
	}
}
