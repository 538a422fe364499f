package bvload

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate stringer -type=judgment -linecomment -output=judgment_string.go

// judgment is the result of checking an answer.
type judgment int

const (
	answerGood  judgment = iota // good
	answerLost                  // lost
	answerMixed                 // mixed
)

// maxListed is the maximum number of broken promises, and of failures, that a report lists.
const maxListed = 20

const (
	lowestMicros      = 1
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// latencies are the latency histograms of one member's programs.
type latencies struct {
	program       *hdrhistogram.Histogram
	firstToken    *hdrhistogram.Histogram // first token of a streamed call
	betweenTokens *hdrhistogram.Histogram // interval between two tokens of a streamed call
	chat          *hdrhistogram.Histogram // complete model call
	tool          *hdrhistogram.Histogram // complete service call
}

func newLatencies() latencies {
	return latencies{newHistogram(), newHistogram(), newHistogram(), newHistogram(), newHistogram()}
}

func (latencies latencies) merge(other latencies) {
	latencies.program.Merge(other.program)
	latencies.firstToken.Merge(other.firstToken)
	latencies.betweenTokens.Merge(other.betweenTokens)
	latencies.chat.Merge(other.chat)
	latencies.tool.Merge(other.tool)
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(latency.Microseconds(), lowestMicros), highestMicros))
}

// memberCounters are the counters and latencies of one member's programs.
type memberCounters struct {
	name      string
	started   int
	finished  int
	failed    int
	latencies latencies
}

// unrepeatableRequest is an unrepeatable request whose runs the audit checks.
type unrepeatableRequest struct {
	request  string
	notRun   bool // the last error reported it as not run
	answered bool // an answer arrived
}

// endedProgram is a program whose end the system has confirmed.
type endedProgram struct{ member, program string }

// measure collects the counters of a load. It is safe for concurrent use.
type measure struct {
	mutex                sync.Mutex
	members              []memberCounters
	requests             int
	retries              int
	refusals             map[string]int // failed attempts that were retried, by code
	errors               map[string]int // final errors of requests, by code
	lost                 int
	mixed                int
	duplicateRuns        int
	falseRefusals        int
	uncertain            int
	unanswered           int
	unverified           int
	heldPrefixes         int
	promptTokens         int
	cachedTokens         int
	outputTokens         int
	unrepeatableRequests []unrepeatableRequest
	endedPrograms        []endedProgram
	brokenPromises       []string
	failures             []string
}

func (measure *measure) initialize(members []Member) {
	measure.refusals = make(map[string]int)
	measure.errors = make(map[string]int)
	for _, member := range members {
		measure.members = append(measure.members, memberCounters{name: member.Name, latencies: newLatencies()})
	}
}

func (measure *measure) withLock(change func()) {
	measure.mutex.Lock()
	defer measure.mutex.Unlock()
	change()
}

func (measure *measure) countRequest() {
	measure.withLock(func() { measure.requests++ })
}

func (measure *measure) countRetry(cause *callError) {
	measure.withLock(func() {
		measure.retries++
		measure.refusals[cause.code]++
	})
}

// recordFailure counts a request that failed permanently. Without a typed error it also
// counts as unanswered: its caller can't know the outcome.
func (measure *measure) recordFailure(request apiRequest, cause *callError) {
	measure.withLock(func() {
		if len(measure.failures) < maxListed {
			measure.failures = append(measure.failures, fmt.Sprintf("%s %s, request %s: %v", request.method, request.path, request.request, cause))
		}
		measure.errors[cause.code]++
		if !cause.typed {
			measure.unanswered++
		}
	})
}

func (measure *measure) beginProgram(member int) {
	measure.withLock(func() { measure.members[member].started++ })
}

func (measure *measure) finishProgram(member int, latency time.Duration) {
	measure.withLock(func() {
		measure.members[member].finished++
		record(measure.members[member].latencies.program, latency)
	})
}

func (measure *measure) failProgram(member int) {
	measure.withLock(func() { measure.members[member].failed++ })
}

func (measure *measure) recordChat(member int, answer apiAnswer, used usage) {
	measure.withLock(func() {
		measure.promptTokens += used.PromptTokens
		measure.cachedTokens += used.Details.CachedTokens
		measure.outputTokens += used.CompletionTokens
		latencies := measure.members[member].latencies
		record(latencies.chat, answer.latency)
		if len(answer.tokenTimes) == 0 {
			return
		}
		record(latencies.firstToken, answer.firstToken)
		for i := range answer.tokenTimes[1:] {
			record(latencies.betweenTokens, answer.tokenTimes[i+1].Sub(answer.tokenTimes[i]))
		}
	})
}

func (measure *measure) recordTool(member int, answer apiAnswer) {
	measure.withLock(func() { record(measure.members[member].latencies.tool, answer.latency) })
}

func (measure *measure) recordJudgment(judgment judgment, request, detail string) {
	if judgment == answerGood {
		return
	}
	measure.withLock(func() {
		switch judgment {
		case answerLost:
			measure.lost++
		case answerMixed:
			measure.mixed++
		}
		measure.addBrokenPromise(judgment.String(), request, detail)
	})
}

// addBrokenPromise adds a broken promise to the report's list, up to maxListed. The
// caller holds the mutex.
func (measure *measure) addBrokenPromise(promise, request, detail string) {
	if len(measure.brokenPromises) < maxListed {
		measure.brokenPromises = append(measure.brokenPromises, fmt.Sprintf("%s: request %s: %s", promise, request, detail))
	}
}

func (measure *measure) recordUnrepeatable(request string, failed *callError) {
	measure.withLock(func() {
		measure.unrepeatableRequests = append(measure.unrepeatableRequests, unrepeatableRequest{
			request:  request,
			notRun:   failed != nil && failed.isNotRun(),
			answered: failed == nil,
		})
		if failed != nil && !failed.isNotRun() {
			measure.uncertain++
		}
	})
}

func (measure *measure) recordEnd(member, program string) {
	measure.withLock(func() { measure.endedPrograms = append(measure.endedPrograms, endedProgram{member, program}) })
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
