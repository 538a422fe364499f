package bvledger

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// decideOnce decides about an unrepeatable call by its once record.
//
// It guards against a booking that is made twice: a caller without an answer repeats its
// request, the repeat reaches another host, and both hosts send it. The record is
// inserted before the send on the condition that there is none, so only one host ever
// sends the request; all others answer from the record.
func (ledger *Ledger) decideOnce(now bvclock.Time, program *program, call *call) (decision, *bvverdict.Error) {
	if call.recordInserted {
		if now.After(call.windowEnd) {
			return completed, ledger.unavailable("the request's record took too long to write")
		}
		return mayRun, nil
	}
	record, found := program.onceRecords[OnceKey(program.key, call.Request)]
	if found && record.row.Digest != call.Digest {
		return completed, reusedRequest()
	}
	if found && record.row.State == onceInserted && !call.recordRead {
		call.recordRead = true // the host that sent it may have recorded the answer in the meantime
		ledger.requestRows(program, false, OnceKey(program.key, call.Request))
		return mustWait, nil
	}
	if found && program.adopt(call.Request, record.row) {
		return turnAdopted, nil
	}
	if found && record.row.State != onceNotRun {
		program.running = nil
		ledger.answerFromRecord(call, record)
		return completed, nil
	}
	// Without the platform no record can be inserted, so the request must not be sent;
	// waiting would only delay the program's other calls.
	if ledger.isPlatformSuspected(now) {
		return completed, ledger.unavailable("unrepeatable requests need the platform, which does not answer")
	}
	return mayRun, nil
}

func (ledger *Ledger) answerFromRecord(call *call, record onceRecord) {
	if record.row.State == onceAnswered && !record.settled {
		for _, joined := range call.joined {
			ledger.answerCall(joined, record.row.Answer, 0, true)
		}
		call.joined = nil
		ledger.answerCall(call, record.row.Answer, 0, true)
		return
	}
	err := bvverdict.New(bvverdict.MayHaveRun, bvverdict.AlreadySent,
		"the request was sent before and is not sent again; its outcome isn't known")
	if record.row.State != onceUnknown {
		err = err.WithRetryAfter(ledger.settings.RetryAfter)
	}
	ledger.refuseCall(call, err)
}

// adoptPending reads the once records of unrepeatable calls that a former owner started,
// before the program continues, and adds their answers to the history.
//
// It guards against a program that is stuck, or loses a turn of its history: the caller
// has received the answer from the former owner, whose commit of the turn failed, and
// continues with the next turn on this host.
func (ledger *Ledger) adoptPending(program *program) {
	foreign := len(program.head.Pending) > 0 && program.running == nil && program.entry == nil &&
		len(program.settlements) == 0
	if !foreign || program.awaitingRows || len(program.queue) == 0 {
		return
	}
	var keys []string
	for _, request := range program.head.Pending {
		keys = append(keys, OnceKey(program.key, request))
	}
	if !program.pendingRead {
		program.pendingRead = true
		ledger.requestRows(program, false, keys...)
		return
	}
	for i, request := range program.head.Pending {
		program.adopt(request, program.onceRecords[keys[i]].row)
	}
}

// adopt adds a turn whose answer a former owner could write only into the once record.
// Its place in the history is directly after the turns that were durable when the record
// was inserted. A record whose turn is in the stored history adds nothing: a host that
// doesn't have that turn is outdated, and the record lacks the turn's messages.
func (program *program) adopt(request string, row onceRow) bool {
	if row.State != onceAnswered || !row.NotInHistory || row.Turn != program.nextTurn() || program.head.State.IsEnded() {
		return false
	}
	if _, found := program.requests[request]; found {
		return false
	}
	program.addTurn(&turn{
		request: request, digest: row.Digest, messages: row.Messages,
		message: row.Message, answer: row.Answer, hasAnswer: true,
	})
	program.history.add(row.Messages, row.Message)
	program.head.Digest = program.history.digest
	program.claimRequested = program.phase != phaseOwned
	return true
}

// maxPending bounds the list of unrepeatable calls of failed owners. The record of a
// call that was removed from the list is still found by a repeat of its request.
const maxPending = 16

// pending returns the requests of unrepeatable calls that may still be running, for the
// head row. The inserted one, if any, is the last.
func (program *program) pending(inserted string) []string {
	var pending []string
	for _, request := range program.head.Pending {
		_, finished := program.requests[request]
		record, found := program.onceRecords[OnceKey(program.key, request)]
		if !finished && !(found && program.isObsolete(record.row)) && request != inserted {
			pending = append(pending, request)
		}
	}
	if inserted != "" {
		pending = append(pending, inserted)
	}
	return pending[max(len(pending)-maxPending, 0):]
}

// isObsolete reports whether a record can no longer add a turn to the history. An
// answered record can do so until its turn number is used, even if it could not be
// adopted when it was read because another call was running.
func (program *program) isObsolete(row onceRow) bool {
	if row.State == onceAnswered {
		return !row.NotInHistory || row.Turn <= len(program.turns)
	}
	return row.State != onceInserted
}

// settle sets the outcome of a record that this host inserted. The outcome is written
// with the program's next entry.
func (program *program) settle(call *call, row onceRow) {
	key := OnceKey(program.key, call.Request)
	row.Digest = call.Digest
	row.Owner = program.head.Owner
	row.Epoch = program.head.Epoch
	record := program.onceRecords[key]
	record.row = row
	record.settled = true
	program.onceRecords[key] = record
	program.settlements = append(program.settlements, settlement{key: key, row: row})
}

// removeSettlement removes the settlement of a record that is inserted again by the same
// entry: an entry can't write a row twice.
func (program *program) removeSettlement(key string) {
	remaining := program.settlements[:0]
	for _, settlement := range program.settlements {
		if settlement.key != key {
			remaining = append(remaining, settlement)
		}
	}
	program.settlements = remaining
}

// detachedCall is a call that outlives this host's state of its program, which has moved
// to another host or ended. An unrepeatable call isn't stopped, since it would then be
// unknown whether it took effect; its answer is written to the once record, where every
// repeat finds it. For the others only the endpoint matters, which must be released.
type detachedCall struct {
	call    *call
	key     string
	version int64
	row     onceRow // as inserted
}

func (program *program) detachedCall(call *call) *detachedCall {
	key := OnceKey(program.key, call.Request)
	record := program.onceRecords[key]
	record.row.Messages = call.Messages
	return &detachedCall{call: call, key: key, version: record.version, row: record.row}
}

func (ledger *Ledger) finishDetached(now bvclock.Time, detached *detachedCall, result Result) {
	delete(ledger.detachedCalls, detached.call.ID)
	if result.Endpoint != "" {
		ledger.emit(Release{Key: detached.call.Key, Endpoints: []string{result.Endpoint}})
	}
	if detached.call.Unrepeatable {
		ledger.recordDetached(now, detached, result)
	}
}

func (ledger *Ledger) recordDetached(now bvclock.Time, detached *detachedCall, result Result) {
	row := detached.row
	row.State = onceAnswered
	row.NotInHistory = true
	row.Message = result.Message
	row.Answer = result.Answer
	if result.Err != nil {
		row.NotInHistory = false
		row.Messages = nil
		row.Message = nil
		row.Answer = nil
		row.State = onceUnknown
		if result.Err.Verdict() == bvverdict.NotRun {
			row.State = onceNotRun
		}
		ledger.refuseCall(detached.call, result.Err)
	}
	entry := &entry{detachedCall: detached, answer: row.Answer}
	ledger.issueEntry(now, entry, Entry{
		Checks: []bvplatform.Check{{Key: detached.key, Version: detached.version}},
		Puts:   []bvplatform.Put{{Key: detached.key, Value: encode(row)}},
	})
}

func (ledger *Ledger) completeDetached(entry *entry, err error) {
	call := entry.detachedCall.call
	if ledger.calls[call.ID] == nil {
		return
	}
	if err != nil {
		ledger.refuseCall(call, bvverdict.New(bvverdict.Ran, bvverdict.Conflict,
			"the call ran but its answer could not be persisted").WithCause(err))
		return
	}
	joined := call.joined
	call.joined = nil
	ledger.answerCall(call, entry.answer, 0, false)
	for _, repeat := range joined {
		ledger.answerCall(repeat, entry.answer, 0, true)
	}
}
