package bvledger

import (
	"fmt"
	"slices"
	"strings"

	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// takeRows takes in rows that were read. The first rows of a program make its
// state; later ones only refresh accounts, records and answers.
func (ledger *Ledger) takeRows(program *program, rows []bvplatform.Row) error {
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
			if err := ledger.takeAccount(row); err != nil {
				return err
			}
		case strings.HasPrefix(row.Key, OnceTable):
			if err := program.takeOnce(row); err != nil {
				return err
			}
		}
	}
	if program.phase == phaseLoading {
		return ledger.takeProgram(program, head, turns)
	}
	return program.takeAnswers(turns)
}

func (ledger *Ledger) takeAccount(row bvplatform.Row) error {
	found := ledger.accounts[row.Key]
	if found == nil {
		found = &account{key: row.Key}
		ledger.accounts[row.Key] = found
	}
	return found.take(row)
}

// takeProgram makes the program's state from its rows.
func (ledger *Ledger) takeProgram(program *program, row bvplatform.Row, turns []bvplatform.Row) error {
	kept, err := decode[head](row)
	if err != nil {
		return err
	}
	if program.limitsKnown {
		kept.Idle = program.limits.Idle
	}
	program.head = kept
	program.headVersion = row.Version
	program.requests = make(map[string]int)
	if program.once == nil {
		program.once = make(map[string]onceRecord)
	}
	program.history = history{}
	program.turns = nil
	program.durable = 0
	if err := program.takeTurns(turns); err != nil {
		return err
	}
	program.placed = kept.Endpoints
	if program.sighted != 0 && program.sighted != row.Version {
		program.ending = nil // somebody has used the program meanwhile
		program.reclaimed = false
	}
	program.sighted = 0
	program.phase = phaseLoaded
	if row.Version != 0 && kept.Owner == ledger.owner {
		program.phase = phaseOwned
		program.reclaimed = false
	}
	return nil
}

// takeTurns rebuilds the history. Rows after the head's last turn belong to
// an owner that committed between the two reads; the claim will conflict.
func (program *program) takeTurns(rows []bvplatform.Row) error {
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
	program.durable = want
	return nil
}

// takeAnswers fills in answers of turns that repeats wait for.
func (program *program) takeAnswers(rows []bvplatform.Row) error {
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
				program.turns[number-1].held = true
				program.turns[number-1].answer = value.Answer
			}
		}
	}
	return nil
}

func (program *program) takeOnce(row bvplatform.Row) error {
	value, err := decode[onceRow](row)
	if err != nil {
		return err
	}
	if kept, found := program.once[row.Key]; found && (kept.settled || row.Version < kept.version) {
		return nil
	}
	if program.once == nil {
		program.once = make(map[string]onceRecord)
	}
	program.once[row.Key] = onceRecord{row: value, version: row.Version}
	return nil
}

// loadFailed refuses what waits for rows that couldn't be read. Whatever is
// under way goes on; a program that was never read is dropped.
func (ledger *Ledger) loadFailed(program *program, cause error) {
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
			"the answer is kept but can't be read now").
			WithRetryAfter(ledger.settings.RetryAfter).WithCause(cause))
	}
	endIssued := program.entry != nil && program.entry.ending
	if program.ending != nil && program.ending.state == EndedByCaller && !endIssued {
		for _, caller := range program.ending.callers {
			ledger.refuse(caller, err)
		}
		program.ending = nil
	}
	if program.phase == phaseLoading {
		ledger.close(program)
	}
}

func (ledger *Ledger) refuseWaiters(turn *turn, err *bvverdict.Error) {
	for _, waiter := range turn.waiters {
		ledger.refuse(waiter, err)
	}
	turn.waiters = nil
}

// belated reports whether the rows answer a Load of an earlier life of the
// program on this host. Taken for the whole state, they would show a program
// that doesn't exist.
func (program *program) belated(rows []bvplatform.Row) bool {
	return program.phase == phaseLoading && !slices.ContainsFunc(rows, func(row bvplatform.Row) bool {
		return row.Key == HeadKey(program.key)
	})
}
