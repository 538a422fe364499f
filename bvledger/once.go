package bvledger

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// judgeOnce looks for a record of an unrepeatable request.
//
// It guards against a booking that is made twice: a caller that heard nothing
// repeats its request, the repeat reaches another host, and both hosts send.
// The record is inserted before the send on the condition that there is none,
// so only one host ever sends; everybody else answers from the record.
func (ledger *Ledger) judgeOnce(now bvclock.Time, program *program, call *call) (judgement, *bvverdict.Error) {
	if call.inserted {
		if now.After(call.windowEnd) {
			return answered, ledger.unavailable("the request's record took too long to write")
		}
		return mayRun, nil
	}
	record, found := program.once[OnceKey(program.key, call.Request)]
	if found && record.row.Digest != call.Digest {
		return answered, reusedRequest()
	}
	if found && record.row.State == onceInserted && !call.looked {
		call.looked = true // the host that sends it may have written the answer meanwhile
		ledger.read(program, false, OnceKey(program.key, call.Request))
		return mustWait, nil
	}
	if found && program.adopt(call.Request, record.row) {
		return adopted, nil
	}
	if found && record.row.State != onceNotRun {
		program.running = nil
		ledger.answerFromRecord(call, record)
		return answered, nil
	}
	// Without the platform there can be no record, so the request must not
	// be sent; waiting would only hold up the program's other calls.
	if ledger.suspected(now) {
		return answered, ledger.unavailable("unrepeatable requests need the platform, which doesn't answer")
	}
	return mayRun, nil
}

func (ledger *Ledger) answerFromRecord(call *call, record onceRecord) {
	if record.row.State == onceAnswered && !record.settled {
		for _, joined := range call.joined {
			ledger.answer(joined, record.row.Answer, 0, true)
		}
		call.joined = nil
		ledger.answer(call, record.row.Answer, 0, true)
		return
	}
	err := bvverdict.New(bvverdict.MayHaveRun, bvverdict.AlreadySent,
		"the request was sent before and is not sent again; its outcome isn't known")
	if record.row.State != onceUnknown {
		err = err.WithRetryAfter(ledger.settings.RetryAfter)
	}
	ledger.refuse(call, err)
}

// lookForPending reads the record of an unrepeatable call that a former owner
// had started, before the program goes on.
//
// It guards against a program that is stuck, or loses a turn of its history:
// the caller has its answer from the former owner, whose commit of the turn
// failed, and goes on with the next turn here.
func (ledger *Ledger) lookForPending(program *program) {
	foreign := len(program.head.Pending) > 0 && program.running == nil && program.entry == nil &&
		len(program.settlements) == 0
	if !foreign || program.reloading || len(program.queue) == 0 {
		return
	}
	var keys []string
	for _, request := range program.head.Pending {
		keys = append(keys, OnceKey(program.key, request))
	}
	if !program.looked {
		program.looked = true
		ledger.read(program, false, keys...)
		return
	}
	for i, request := range program.head.Pending {
		program.adopt(request, program.once[keys[i]].row)
	}
}

// adopt adds a turn whose answer a former owner could only write into the
// record. It belongs after the turns that were kept when the record was
// inserted, and nowhere else. A record whose turn was kept adds nothing: a
// host that doesn't know that turn is outdated, and the record lacks the
// turn's messages.
func (program *program) adopt(request string, row onceRow) bool {
	if row.State != onceAnswered || !row.Unkept || row.Turn != program.nextTurn() || program.head.State.IsEnded() {
		return false
	}
	if _, kept := program.requests[request]; kept {
		return false
	}
	program.addTurn(&turn{
		request: request, digest: row.Digest, messages: row.Messages,
		message: row.Message, answer: row.Answer, held: true,
	})
	program.history.add(row.Messages, row.Message)
	program.head.Digest = program.history.digest
	program.reclaimed = program.phase != phaseOwned
	return true
}

// maxPending bounds the list of unrepeatable calls of dead owners. One that
// falls off the list is still found by a repeat of its request.
const maxPending = 16

// pending is what the head row says of unrepeatable calls under way.
func (program *program) pending(inserted string) []string {
	var pending []string
	for _, request := range program.head.Pending {
		_, kept := program.requests[request]
		record, found := program.once[OnceKey(program.key, request)]
		if !kept && !(found && program.past(record.row)) && request != inserted {
			pending = append(pending, request)
		}
	}
	if inserted != "" {
		pending = append(pending, inserted)
	}
	return pending[max(len(pending)-maxPending, 0):]
}

// past reports whether a record can add nothing to the history any more. An
// answered one can until its turn is taken, even if it could not be adopted
// when it was read because another call ran.
func (program *program) past(row onceRow) bool {
	if row.State == onceAnswered {
		return !row.Unkept || row.Turn <= len(program.turns)
	}
	return row.State != onceInserted
}

// settle notes the outcome of a record that this host inserted. It is written
// with the program's next entry.
func (program *program) settle(call *call, row onceRow) {
	key := OnceKey(program.key, call.Request)
	row.Digest = call.Digest
	row.Owner = program.head.Owner
	row.Epoch = program.head.Epoch
	record := program.once[key]
	record.row = row
	record.settled = true
	program.once[key] = record
	program.settlements = append(program.settlements, settlement{key: key, row: row})
}

// takeSettlement removes the settlement of a record that is to be inserted
// anew: one entry can't write a row twice.
func (program *program) takeSettlement(key string) {
	kept := program.settlements[:0]
	for _, settlement := range program.settlements {
		if settlement.key != key {
			kept = append(kept, settlement)
		}
	}
	program.settlements = kept
}

// stray is a call of a program that moved to another host while the call ran
// here. An unrepeatable one isn't stopped, since stopping leaves open whether
// it took effect; its answer goes into the record, where every repeat finds
// it. Of the others only the endpoint matters, which is to be released.
type stray struct {
	call    *call
	key     string
	version int64
	row     onceRow // as inserted
}

func (program *program) stray(call *call) *stray {
	key := OnceKey(program.key, call.Request)
	record := program.once[key]
	record.row.Messages = call.Messages
	return &stray{call: call, key: key, version: record.version, row: record.row}
}

func (ledger *Ledger) strayFinished(now bvclock.Time, stray *stray, result Result) {
	delete(ledger.strays, stray.call.ID)
	if result.Endpoint != "" {
		ledger.emit(Release{Key: stray.call.Key, Endpoints: []string{result.Endpoint}})
	}
	if stray.call.Unrepeatable {
		ledger.finishStray(now, stray, result)
	}
}

func (ledger *Ledger) finishStray(now bvclock.Time, stray *stray, result Result) {
	row := stray.row
	row.State = onceAnswered
	row.Unkept = true
	row.Message = result.Message
	row.Answer = result.Answer
	if result.Err != nil {
		row.Unkept = false
		row.Messages = nil
		row.Message = nil
		row.Answer = nil
		row.State = onceUnknown
		if result.Err.Verdict() == bvverdict.NotRun {
			row.State = onceNotRun
		}
		ledger.refuse(stray.call, result.Err)
	}
	entry := &entry{stray: stray, answer: row.Answer}
	ledger.issue(now, entry, Entry{
		Checks: []bvplatform.Check{{Key: stray.key, Version: stray.version}},
		Puts:   []bvplatform.Put{{Key: stray.key, Value: encode(row)}},
	})
}

func (ledger *Ledger) strayCommitted(entry *entry, err error) {
	call := entry.stray.call
	if ledger.calls[call.ID] == nil {
		return
	}
	if err != nil {
		ledger.refuse(call, bvverdict.New(bvverdict.Ran, bvverdict.Conflict,
			"the call ran but its answer could not be kept").WithCause(err))
		return
	}
	joined := call.joined
	call.joined = nil
	ledger.answer(call, entry.answer, 0, false)
	for _, repeat := range joined {
		ledger.answer(repeat, entry.answer, 0, true)
	}
}
