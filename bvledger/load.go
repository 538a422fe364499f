package bvledger

import (
	"fmt"
	"slices"
	"strings"

	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// applyRows applies rows that were read. The first rows of a program define its state;
// later ones only refresh accounts, once records and answers.
func (ledger *Ledger) applyRows(program *program, rows []bvplatform.Row) error {
	prefix := TurnPrefix(program.key)
	var turns []bvplatform.Row
	var head bvplatform.Row
	for _, row := range rows {
		switch {
		case row.Key == HeadKey(program.key):
			head = row
		case strings.HasPrefix(row.Key, prefix):
			turns = append(turns, row)
		case strings.HasPrefix(row.Key, AccountTable):
			if err := ledger.applyAccount(row); err != nil {
				return err
			}
		case strings.HasPrefix(row.Key, OnceTable):
			if err := program.applyOnce(row); err != nil {
				return err
			}
		}
	}
	if program.phase == phaseLoading {
		return ledger.applyProgram(program, head, turns)
	}
	return program.applyAnswers(turns)
}

func (ledger *Ledger) applyAccount(row bvplatform.Row) error {
	found := ledger.accounts[row.Key]
	if found == nil {
		found = &account{key: row.Key}
		ledger.accounts[row.Key] = found
	}
	return found.update(row)
}

// applyProgram builds the program's state from its rows.
func (ledger *Ledger) applyProgram(program *program, row bvplatform.Row, turns []bvplatform.Row) error {
	stored, err := decode[head](row)
	if err != nil {
		return err
	}
	if program.limitsKnown {
		stored.Idle = program.limits.Idle
	}
	program.head = stored
	program.headVersion = row.Version
	program.requests = make(map[string]int)
	if program.onceRecords == nil {
		program.onceRecords = make(map[string]onceRecord)
	}
	program.history = history{}
	program.turns = nil
	program.durableTurns = 0
	if err := program.applyTurns(turns); err != nil {
		return err
	}
	program.durableEndpoints = stored.Endpoints
	if program.observedVersion != 0 && program.observedVersion != row.Version {
		program.ending = nil // the program has been used since ReclaimScan read its head row
		program.claimRequested = false
	}
	program.observedVersion = 0
	program.phase = phaseLoaded
	if row.Version != 0 && stored.Owner == ledger.owner {
		program.phase = phaseOwned
		program.claimRequested = false
	}
	return nil
}

// applyTurns rebuilds the history. Rows after the head's last turn were written by an
// owner that committed between the two reads; this host's claim will then conflict.
func (program *program) applyTurns(rows []bvplatform.Row) error {
	want := program.head.Turns
	if len(rows) < want {
		return fmt.Errorf("ledger: %d of %d turns of program %s found", len(rows), want, program.key.Program)
	}
	for i, row := range rows[:want] {
		if row.Key != TurnKey(program.key, i+1) {
			return fmt.Errorf("ledger: turn %d of program %s is missing", i+1, program.key.Program)
		}
		value, err := decode[turnRow](row)
		if err != nil {
			return err
		}
		program.addTurn(&turn{request: value.Request, digest: value.Digest})
		program.history.add(value.Messages, value.Message)
	}
	if program.history.digest != program.head.Digest {
		return fmt.Errorf("ledger: history of program %s differs from its digest", program.key.Program)
	}
	program.durableTurns = want
	return nil
}

// applyAnswers stores the answers of turns that repeats wait for.
func (program *program) applyAnswers(rows []bvplatform.Row) error {
	for _, row := range rows {
		value, err := decode[turnRow](row)
		if err != nil {
			return err
		}
		if row.Version == 0 {
			return fmt.Errorf("ledger: row %s is missing", row.Key)
		}
		for _, number := range program.fetching {
			if row.Key == TurnKey(program.key, number) {
				program.turns[number-1].hasAnswer = true
				program.turns[number-1].answer = value.Answer
			}
		}
	}
	return nil
}

func (program *program) applyOnce(row bvplatform.Row) error {
	value, err := decode[onceRow](row)
	if err != nil {
		return err
	}
	if stored, found := program.onceRecords[row.Key]; found && (stored.settled || row.Version < stored.version) {
		return nil
	}
	if program.onceRecords == nil {
		program.onceRecords = make(map[string]onceRecord)
	}
	program.onceRecords[row.Key] = onceRecord{row: value, version: row.Version}
	return nil
}

// handleLoadError refuses the calls that wait for rows that couldn't be read. Running
// calls and entries in flight continue; a program that was never loaded is dropped.
func (ledger *Ledger) handleLoadError(program *program, cause error) {
	err := ledger.unavailable("the program's state can't be read now").WithCause(cause)
	ledger.requeue(program)
	queue := program.queue
	program.queue = nil
	for _, call := range queue {
		ledger.refuseUnstarted(program, call, err)
	}
	fetching := program.fetching
	program.fetching = nil
	for _, number := range fetching {
		ledger.refuseWaiters(program.turns[number-1], bvverdict.New(bvverdict.Ran, bvverdict.PlatformUnavailable,
			"the answer is persisted but can't be read now").
			WithRetryAfter(ledger.settings.RetryAfter).WithCause(cause))
	}
	endIssued := program.entry != nil && program.entry.ending
	if program.ending != nil && program.ending.state == EndedByCaller && !endIssued {
		for _, caller := range program.ending.callers {
			ledger.refuseCall(caller, err)
		}
		program.ending = nil
	}
	if program.phase == phaseLoading {
		ledger.closeProgram(program)
	}
}

func (ledger *Ledger) refuseWaiters(turn *turn, err *bvverdict.Error) {
	for _, waiter := range turn.waiters {
		ledger.refuseCall(waiter, err)
	}
	turn.waiters = nil
}

// isLate reports whether the rows answer a Load from before this host last dropped the
// program. As the program's first rows, they would define a program that doesn't exist.
func (program *program) isLate(rows []bvplatform.Row) bool {
	return program.phase == phaseLoading && !slices.ContainsFunc(rows, func(row bvplatform.Row) bool {
		return row.Key == HeadKey(program.key)
	})
}
