package bvexplain

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// crashes holds the requests whose calls broke at endpoints, and what hosts know of crashes
// that these requests caused. The zero value is empty.
type crashes struct {
	suspects map[string]*suspect
	lost     map[string]bool // starts of endpoints that a host found lost
}

// suspect is a request that may crash endpoints, by its content.
type suspect struct {
	route, anyQuery string
	brokenAt        map[string]bool            // starts of endpoints
	countedBy       map[string]map[string]bool // starts of endpoints, by the host that counts their crash
	counted         map[string]bool            // of these, by any host
	withdrawn       map[string]bool            // of these, since the endpoint or the request was cleared
	calls           int                        // that broke
	last            *line                      // last call that broke
	refused         int
}

// poisonousCode is the code in the error of a request that was refused as poisonous.
const poisonousCode = "poisonous"

// add counts a line.
func (crashes *crashes) add(line *line) {
	switch {
	case line.Message == "endpoint lost":
		crashes.addLoss(line.Incarnation)
	case line.Content == "":
	case line.Message == "call broke at an endpoint":
		crashes.addBrokenCall(line)
	case line.Message == "crash counted":
		crashes.addCrash(line)
	case line.Message == "crash withdrawn":
		if found := crashes.suspect(line.Content); found != nil {
			found.withdrawn[line.Incarnation] = true
		}
	case line.isRequest() && strings.HasPrefix(line.Error, poisonousCode):
		if found := crashes.suspect(line.Content); found != nil {
			found.refused++
		}
	}
}

func (crashes *crashes) addLoss(endpoint string) {
	if crashes.lost == nil {
		crashes.lost = make(map[string]bool)
	}
	if len(crashes.lost) < maxRows {
		crashes.lost[endpoint] = true
	}
}

// suspect returns the row of a request, or nil if there are too many.
func (crashes *crashes) suspect(content string) *suspect {
	if found := crashes.suspects[content]; found != nil {
		return found
	}
	if len(crashes.suspects) >= maxRows {
		return nil
	}
	if crashes.suspects == nil {
		crashes.suspects = make(map[string]*suspect)
	}
	added := &suspect{brokenAt: make(map[string]bool), countedBy: make(map[string]map[string]bool), counted: make(map[string]bool), withdrawn: make(map[string]bool)}
	crashes.suspects[content] = added
	return added
}

func (crashes *crashes) addBrokenCall(line *line) {
	found := crashes.suspect(line.Content)
	if found == nil {
		return
	}
	found.route, found.anyQuery = line.Route, line.AnyQuery
	found.calls++
	found.brokenAt[line.Incarnation] = true
	if found.last == nil || line.at > found.last.at {
		found.last = line
	}
}

func (crashes *crashes) addCrash(line *line) {
	found := crashes.suspect(line.Content)
	if found == nil {
		return
	}
	if found.countedBy[line.host] == nil {
		found.countedBy[line.host] = make(map[string]bool)
	}
	found.countedBy[line.host][line.Incarnation] = true
	found.counted[line.Incarnation] = true
}

// missed returns at how many lost endpoints a call of the request broke without a crash
// that any host counts.
func (suspect *suspect) missed(lost map[string]bool) int {
	missed := 0
	for endpoint := range suspect.brokenAt {
		if lost[endpoint] && !suspect.counted[endpoint] {
			missed++
		}
	}
	return missed
}

// hostsThatCountAll returns how many hosts count each crash that any host counts.
func (suspect *suspect) hostsThatCountAll() int {
	hosts := 0
	for _, counted := range suspect.countedBy {
		if len(counted) == len(suspect.counted) {
			hosts++
		}
	}
	return hosts
}

// printed returns the requests to print, those that broke most calls first: those with a
// crash, counted or missed.
func (crashes *crashes) printed() []string {
	contents := slices.Collect(maps.Keys(crashes.suspects))
	contents = slices.DeleteFunc(contents, func(content string) bool {
		suspect := crashes.suspects[content]
		return len(suspect.counted) == 0 && suspect.missed(crashes.lost) == 0
	})
	slices.SortFunc(contents, func(a, b string) int {
		return cmp.Or(cmp.Compare(crashes.suspects[b].calls, crashes.suspects[a].calls), cmp.Compare(a, b))
	})
	return contents
}

// maxPrintedSuspects is the number of requests that are printed.
const maxPrintedSuspects = 20

func (printer *printer) crashes(crashes *crashes, hosts int) {
	contents := crashes.printed()
	if len(contents) == 0 {
		return
	}
	printer.line("\nrequests in flight at crashes: %d; those that broke most calls:", len(contents))
	printer.line("%-16s  %-16s  %-12s %6s %8s %9s %8s %11s %8s  %s", "content", "any query", "route", "broke", "counted", "withdrawn", "missed", "known to", "refused", "last broken call")
	for _, content := range contents[:min(len(contents), maxPrintedSuspects)] {
		suspect := crashes.suspects[content]
		last := ""
		if suspect.last != nil {
			last = suspect.last.Request + " on " + suspect.last.host
		}
		printer.line("%-16s  %-16s  %-12s %6d %8d %9d %8d %5d of %2d %8d  %s", content, suspect.anyQuery, suspect.route, suspect.calls,
			len(suspect.counted), len(suspect.withdrawn), suspect.missed(crashes.lost), suspect.hostsThatCountAll(), hosts, suspect.refused, last)
	}
}
