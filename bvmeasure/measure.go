// Package bvmeasure counts what a daemon does, for /debug/vars.
//
// # Usage
//
//	counters := bvmeasure.New()
//	counters.Answered()
//	mux.Handle("GET /debug/vars", counters)
//
// # Variables
//
// All are of this host, and of all members together, since it started.
//
//	answered              calls that came in here and got a complete answer
//	refused               a map: errors of calls that came in here, by "verdict/code"
//	call_latency          of calls run here, first arrival to kept answer
//	program_latency       of programs that ran here whole, first call to last answer
//	permit_wait           of calls run here, for an endpoint
//	platform_writes       transactions sent to the platform
//	platform_conflicts    transactions that another host's write had overtaken
//	platform_unknown      transactions whose outcome had to be read back
//	commit_entries        program entries in those transactions
//	prompt_tokens         of model calls run here, as the engines counted them
//	cached_tokens         of those, which the engines had in their cache
//	recomputed_tokens     of the programs' kept histories, which they had not (estimate)
//	releases              orders to engines to drop an ended program's cache
//	releases_failed       of those, which the engine did not confirm; they are repeated
//	resumed_streams       streams taken over from a lost owner
//	rerun_calls           tries after the first, because an endpoint gave no answer
//	lost_owners           calls whose owner was lost on the way
//	declined_calls        calls that had to ask another host for the owner
//	suspects_told         hosts told of requests that may crash endpoints
//	table_version         version of the operators' table in force
//	hosts                 hosts in this host's view
//
// A routing daemon has these instead:
//
//	answered              requests that got a whole answer
//	failed                requests that got none, or a refusal
//	refused               a map: the same, by "verdict/code"
//	first_event           of streams, from the request's arrival to the first event
//	request_latency       of answered requests, from arrival to the last byte
//	sends_again           sends after the first of a request
//	programs_turned_away  programs refused before their first turn, for load
//	desired_state_version version of the routes in force
//	hosts_heard           other hosts whose digests come
//	endpoints             endpoints on the list
//	connections_opened    connections opened to endpoints
//	budget_writes         transactions tried on programs' budgets
//	budget_accounts       programs with an account here
//	conversations_from_hosts  conversations that other hosts had at hand
//	rows_swept            expired rows removed that other hosts had left behind
//	store_calls           a map: calls to the platform's store by this host's own
//	                      way, by "what table"
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

// Counters are one daemon's counters. They are not in the process-wide list of
// expvar, so that several daemons in one process stay apart.
type Counters struct {
	variables expvar.Map
	refused   expvar.Map

	mutex    sync.Mutex
	byMember map[string]map[string]int64 // refusals; not in the variables, which everybody may read
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

// Answered counts a complete answer.
func (counters *Counters) Answered() {
	counters.Add("answered", 1)
}

// Count adds one to a counter that is kept by kind.
func (counters *Counters) Count(name, kind string) { counters.kinds(name).Add(kind, 1) }

// SetKind sets a variable that is kept by kind.
func (counters *Counters) SetKind(name, kind string, value int64) {
	number := new(expvar.Int)
	number.Set(value)
	counters.kinds(name).Set(kind, number)
}

func (counters *Counters) kinds(name string) *expvar.Map {
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

// Refused counts an error by its verdict and code; member is empty when the
// caller's key was not known.
func (counters *Counters) Refused(member string, err error) {
	found := bvverdict.From(err)
	kind := found.Verdict().String() + "/" + found.Code().String()
	counters.refused.Add(kind, 1)
	if member == "" {
		return
	}
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	if counters.byMember == nil {
		counters.byMember = make(map[string]map[string]int64)
	}
	if counters.byMember[member] == nil {
		counters.byMember[member] = make(map[string]int64)
	}
	counters.byMember[member][kind]++
}

// Refusals returns a member's refusals by "verdict/code".
func (counters *Counters) Refusals(member string) map[string]int64 {
	counters.mutex.Lock()
	defer counters.mutex.Unlock()
	return maps.Clone(counters.byMember[member])
}

// Numbers returns all counters that are a number.
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
// that read no JSON. Latencies have a line for each of their figures.
func (counters *Counters) Text() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
		counters.variables.Do(func(variable expvar.KeyValue) { writeText(writer, variable) })
	})
}

// writeText writes one variable. An error would mean that the collector has
// gone.
func writeText(writer io.Writer, variable expvar.KeyValue) {
	switch value := variable.Value.(type) {
	case *latency:
		for _, line := range value.lines() {
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
