package bvload

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate stringer -type=judgment -linecomment -output=judgment_string.go

// judgment is what the check of an answer found.
type judgment int

const (
	answerGood  judgment = iota // good
	answerLost                  // lost
	answerMixed                 // mixed
)

// maxBroken is how many broken promises a report describes.
const maxBroken = 20

const (
	lowestMicros      = 1
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// times are the latencies of one member's programs.
type times struct {
	program *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram // token of a streamed call
	between *hdrhistogram.Histogram // two tokens of a streamed call
	chat    *hdrhistogram.Histogram // whole model call
	tool    *hdrhistogram.Histogram // whole service call
}

func newTimes() times {
	return times{newHistogram(), newHistogram(), newHistogram(), newHistogram(), newHistogram()}
}

func (times times) merge(other times) {
	times.program.Merge(other.program)
	times.first.Merge(other.first)
	times.between.Merge(other.between)
	times.chat.Merge(other.chat)
	times.tool.Merge(other.tool)
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(latency.Microseconds(), lowestMicros), highestMicros))
}

// memberCount counts one member's programs.
type memberCount struct {
	name     string
	begun    int
	finished int
	failed   int
	times    times
}

// sentOnce is an unrepeatable request, to be asked about at the end.
type sentOnce struct {
	request string
	notRun  bool // the system said so at last
	known   bool // it has an answer
}

// endedProgram is a program that the system was told has ended.
type endedProgram struct{ member, program string }

// measure counts what happens. It is safe for concurrent use.
type measure struct {
	mutex        sync.Mutex
	members      []memberCount
	requests     int
	retries      int
	refusals     map[string]int // by code, repeats included
	errors       map[string]int // of requests that failed for good, by code
	lost         int
	mixed        int
	twice        int
	falseRefusal int
	uncertain    int
	unanswered   int
	unasked      int
	held         int
	prompt       int
	cached       int
	output       int
	once         []sentOnce
	endings      []endedProgram
	broken       []string
	failures     []string
}

func (measure *measure) start(members []Member) {
	measure.refusals = make(map[string]int)
	measure.errors = make(map[string]int)
	for _, member := range members {
		measure.members = append(measure.members, memberCount{name: member.Name, times: newTimes()})
	}
}

func (measure *measure) locked(change func()) {
	measure.mutex.Lock()
	defer measure.mutex.Unlock()
	change()
}

func (measure *measure) request() {
	measure.locked(func() { measure.requests++ })
}

func (measure *measure) retry(cause *callError) {
	measure.locked(func() {
		measure.retries++
		measure.refusals[cause.code]++
	})
}

// failed notes a request that has no answer for good. One without so much as
// a typed error is lost: its caller can't know what became of it.
func (measure *measure) failed(request outgoing, cause *callError) {
	measure.locked(func() {
		if len(measure.failures) < maxBroken {
			measure.failures = append(measure.failures, fmt.Sprintf("%s %s, request %s: %v", request.method, request.path, request.request, cause))
		}
		measure.errors[cause.code]++
		if !cause.typed {
			measure.unanswered++
		}
	})
}

func (measure *measure) begin(member int) {
	measure.locked(func() { measure.members[member].begun++ })
}

func (measure *measure) finish(member int, latency time.Duration) {
	measure.locked(func() {
		measure.members[member].finished++
		record(measure.members[member].times.program, latency)
	})
}

func (measure *measure) giveUp(member int) {
	measure.locked(func() { measure.members[member].failed++ })
}

func (measure *measure) chat(member int, answer incoming, used usage) {
	measure.locked(func() {
		measure.prompt += used.PromptTokens
		measure.cached += used.Details.CachedTokens
		measure.output += used.CompletionTokens
		times := measure.members[member].times
		record(times.chat, answer.latency)
		if len(answer.tokens) == 0 {
			return
		}
		record(times.first, answer.firstToken)
		for i := range answer.tokens[1:] {
			record(times.between, answer.tokens[i+1].Sub(answer.tokens[i]))
		}
	})
}

func (measure *measure) tool(member int, answer incoming) {
	measure.locked(func() { record(measure.members[member].times.tool, answer.latency) })
}

func (measure *measure) judged(judgment judgment, request, detail string) {
	if judgment == answerGood {
		return
	}
	measure.locked(func() {
		switch judgment {
		case answerLost:
			measure.lost++
		case answerMixed:
			measure.mixed++
		}
		measure.note(judgment.String(), request, detail)
	})
}

// note keeps the first broken promises for the report. The mutex is held.
func (measure *measure) note(promise, request, detail string) {
	if len(measure.broken) < maxBroken {
		measure.broken = append(measure.broken, fmt.Sprintf("%s: request %s: %s", promise, request, detail))
	}
}

func (measure *measure) unrepeatable(request string, failed *callError) {
	measure.locked(func() {
		measure.once = append(measure.once, sentOnce{
			request: request,
			notRun:  failed != nil && failed.notRun(),
			known:   failed == nil,
		})
		if failed != nil && !failed.notRun() {
			measure.uncertain++
		}
	})
}

func (measure *measure) ended(member, program string) {
	measure.locked(func() { measure.endings = append(measure.endings, endedProgram{member, program}) })
}

func (measure *measure) progress(programs int) Progress {
	measure.mutex.Lock()
	defer measure.mutex.Unlock()
	progress := Progress{Programs: programs, Requests: measure.requests}
	for _, member := range measure.members {
		progress.Finished += member.finished
		progress.Failed += member.failed
	}
	return progress
}
