// Package bvmeasure holds a daemon's counters and latencies and serves them at
// /debug/vars.
//
// # Usage
//
//	counters := bvmeasure.New()
//	counters.CountAnswer()
//	mux.Handle("GET /debug/vars", counters)
//
// # Variables
//
// All cover this host and all members together, since the daemon started.
//
//	answered              calls received here that got a complete answer
//	refused               a map: errors of calls received here, by "verdict/code"
//	call_latency          of calls run here, from first arrival to persisted answer
//	program_latency       of programs run entirely here, from first call to last answer
//	permit_wait           wait for an endpoint, of calls run here
//	platform_writes       transactions sent to the platform
//	platform_conflicts    transactions that conflicted with another host's write
//	platform_unknown      transactions whose outcome had to be read back
//	commit_entries        program entries in those transactions
//	prompt_tokens         of model calls run here, as the engines counted them
//	cached_tokens         of those, tokens that the engines had cached
//	recomputed_tokens     of persisted histories, tokens that they had not cached (estimate)
//	releases              requests to engines to drop an ended program's cache
//	releases_failed       of those, not confirmed by the engine; they are repeated
//	resumed_streams       streams taken over from a failed owner
//	rerun_calls           attempts after the first, because an endpoint gave no answer
//	lost_owners           calls whose owner failed during the call
//	declined_calls        calls that had to query another host for the owner
//	suspects_told         hosts notified of requests that may crash endpoints
//	table_version         version of the operators' table that is active
//	hosts                 hosts in this host's view
//
// A routing daemon has these instead:
//
//	answered              requests that got a complete answer
//	failed                requests that were refused or got no complete answer
//	refused               a map: failed requests, by "verdict/code"
//	first_event           of streams, from the request's arrival to the first event
//	request_latency       of answered requests, from arrival to the last byte
//	sends_again           sends of a request after its first
//	slot_waits            times that a request waited for a free slot of a tool
//	programs_turned_away  programs rejected before their first turn because of overload
//	programs_turned_away_by_time  of those, the ones that could not end within their deadline
//	turns_overdue  turns of programs that are late by more than the time that they had
//	desired_state_version version of the active routes
//	hosts_heard           other hosts whose digests arrive
//	endpoints             endpoints on the platform's list
//	broken_calls          a map: calls that an endpoint may have run and did not answer
//	                      completely, by the way in which they broke
//	endpoint_checks       a map: checks of endpoints after such calls, by result
//	endpoint_losses       a map: signs that an endpoint has ended, by sign
//	crashes               a map: crashes counted against a request, by who detected them
//	crashes_withdrawn     a map: of these, crashes that no longer count, by reason
//	suspects              requests that were in flight at crashes
//	exclusive_runs        a map: runs of requests that have crashed two endpoints, by
//	                      whether the platform's store granted them
//	load_reports          a map: load reports of endpoints, valid and invalid ones
//	speed_conflicts       endpoints whose responses contradict the pace that they report
//	connections_opened    connections opened to endpoints
//	budget_writes         transactions attempted on programs' budgets
//	budget_accounts       programs with an account here
//	conversations_from_hosts  conversations fetched from other hosts' memory
//	rows_swept            expired rows of other hosts that were removed
//	share_rejections      programs rejected because their workspace was above its share
//	share_rejections_by_workspace  a map: the same by workspace, at most 64 of them
//	workspace_used        a map: work of a workspace over all hosts, in thousandths of
//	                      an engine's time, for the 16 with the largest demand
//	workspace_asked       a map: the same with the work that was rejected
//	workspace_share       a map: what a workspace may use before it is above its share
//	workspace_reports_age_ms  age of the oldest report in these sums
//	workspace_shares_known    1 while enough hosts report
//	store_calls           a map: calls to the platform's store without a relay,
//	                      by "operation table"
//	store_reachable       1 while the platform's store answers this host
//
// A latency is an object with count, mean_ms, p50_ms, p95_ms, p99_ms, max_ms.
package bvmeasure

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// Counters are one daemon's counters. They are not published in the process-wide
// expvar list, so that several daemons in one process have separate counters.
type Counters struct {
	variables expvar.Map
	refused   expvar.Map

	mutex            sync.Mutex
	refusalsByMember map[string]map[string]int64 // not in variables, which cover all members together
}

// New returns counters at zero.
func New() *Counters {
	counters := &Counters{}
	counters.variables.Init()
	counters.refused.Init()
	counters.variables.Set("refused", &counters.refused)
	return counters
}

// Add adds to a counter.
func (counters *Counters) Add(name string, delta int64) {
	counters.variables.Add(name, delta)
}

// Set sets a variable.
func (counters *Counters) Set(name string, value int64) {
	number := new(expvar.Int)
	number.Set(value)
	counters.variables.Set(name, number)
}

// Get returns a counter's value.
func (counters *Counters) Get(name string) int64 {
	number, ok := counters.variables.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return number.Value()
}

// CountAnswer counts a complete answer.
func (counters *Counters) CountAnswer() {
	counters.Add("answered", 1)
}

// Count adds one to the counter of a kind.
func (counters *Counters) Count(name, kind string) { counters.kindMap(name).Add(kind, 1) }

// SetKind sets the variable of a kind.
func (counters *Counters) SetKind(name, kind string, value int64) {
	number := new(expvar.Int)
	number.Set(value)
	counters.kindMap(name).Set(kind, number)
}

// SetKinds replaces the variables of all kinds.
func (counters *Counters) SetKinds(name string, values map[string]int64) {
	kinds := new(expvar.Map).Init()
	for kind, value := range values {
		kinds.Add(kind, value)
	}
	counters.variables.Set(name, kinds)
}

// otherKinds is the kind of those beyond a limit.
const otherKinds = "other"

// CountLimited adds one to the counter of a kind. If there are limit others already, it counts
// with all further ones.
func (counters *Counters) CountLimited(name, kind string, limit int) {
	kinds := counters.kindMap(name)
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	if count := 0; kinds.Get(kind) == nil {
		kinds.Do(func(expvar.KeyValue) { count++ })
		if count >= limit {
			kind = otherKinds
		}
	}
	kinds.Add(kind, 1)
}

func (counters *Counters) kindMap(name string) *expvar.Map {
	if found, ok := counters.variables.Get(name).(*expvar.Map); ok {
		return found
	}
	return counters.newMap(name)
}

func (counters *Counters) newMap(name string) *expvar.Map {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	if found, ok := counters.variables.Get(name).(*expvar.Map); ok {
		return found
	}
	added := new(expvar.Map).Init()
	counters.variables.Set(name, added)
	return added
}

// Observe adds a duration to a latency.
func (counters *Counters) Observe(name string, duration bvclock.Duration) {
	counters.latency(name).observe(duration)
}

func (counters *Counters) latency(name string) *latency {
	if found, ok := counters.variables.Get(name).(*latency); ok {
		return found
	}
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	if found, ok := counters.variables.Get(name).(*latency); ok {
		return found
	}
	added := newLatency()
	counters.variables.Set(name, added)
	return added
}

// CountRefusal counts an error by its verdict and code; member is empty when the
// caller's key is unknown.
func (counters *Counters) CountRefusal(member string, err error) {
	found := bvverdict.From(err)
	kind := found.Verdict().String() + "/" + found.Code().String()
	counters.refused.Add(kind, 1)
	if member == "" {
		return
	}
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	if counters.refusalsByMember == nil {
		counters.refusalsByMember = make(map[string]map[string]int64)
	}
	if counters.refusalsByMember[member] == nil {
		counters.refusalsByMember[member] = make(map[string]int64)
	}
	counters.refusalsByMember[member][kind]++
}

// Refusals returns a member's refusals by "verdict/code".
func (counters *Counters) Refusals(member string) map[string]int64 {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	return maps.Clone(counters.refusalsByMember[member])
}

// Numbers returns all variables that are single numbers.
func (counters *Counters) Numbers() map[string]int64 {
	numbers := make(map[string]int64)
	counters.variables.Do(func(variable expvar.KeyValue) {
		if number, ok := variable.Value.(*expvar.Int); ok {
			numbers[variable.Key] = number.Value()
		}
	})
	return numbers
}

// ServeHTTP writes the variables as JSON.
func (counters *Counters) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write([]byte(counters.variables.String()))
}

// Text serves the variables as lines of text, "name value", for collectors
// that do not read JSON. A latency has a line for each of its figures.
func (counters *Counters) Text() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
		counters.variables.Do(func(variable expvar.KeyValue) { writeText(writer, variable) })
	})
}

// writeText writes one variable. It ignores errors, which mean that the collector
// has closed the connection.
func writeText(writer io.Writer, variable expvar.KeyValue) {
	switch value := variable.Value.(type) {
	case *latency:
		for _, line := range value.textLines() {
			_, _ = fmt.Fprintf(writer, "balsamvalve_%s_%s\n", variable.Key, line)
		}
	case *expvar.Map:
		value.Do(func(entry expvar.KeyValue) {
			_, _ = fmt.Fprintf(writer, "balsamvalve_%s{kind=%q} %s\n", variable.Key, entry.Key, entry.Value)
		})
	default:
		_, _ = fmt.Fprintf(writer, "balsamvalve_%s %s\n", variable.Key, value)
	}
}
