package bvledger

import (
	"balsamvalve.example/bvclock"
)

// planDraws plans the entry's changes to accounts. It reports false if the entry has to
// wait for an account.
func (ledger *Ledger) planDraws(now bvclock.Time, entry *entry) bool {
	program := entry.program
	accounts, missing, err := ledger.accountChain(program)
	if len(missing) > 0 {
		ledger.requestRows(program, false, missing...)
		return false
	}
	if err != nil {
		return true // nothing to draw from; calls are refused with this error, so the entry is an end
	}
	own := accounts[0]
	if hasBounded(accounts) || entry.ending {
		if hasInFlight(accounts) && (entry.ending || ledger.needsDraw(entry)) {
			ledger.starved = append(ledger.starved, program)
			if entry.ending || entry.claim || !program.mustWrite() {
				return false
			}
			entry.call = nil
		}
		entry.drawAmount = ledger.drawAmount(entry, accounts)
	}
	if entry.drawAmount == 0 {
		if !own.inFlight && (own.version == 0 || own.row != own.durable) {
			entry.draws = []draw{{account: own, row: own.row}}
		}
		return true
	}
	for _, account := range accounts {
		row := account.row
		row.Drawn += entry.drawAmount
		entry.draws = append(entry.draws, draw{account: account, row: row})
	}
	entry.head.Drawn += entry.drawAmount
	return true
}

func (ledger *Ledger) needsDraw(entry *entry) bool {
	return entry.call != nil && entry.call.Cost > entry.head.Drawn-entry.head.Spent
}

// drawAmount returns how much the entry draws; it is negative when a program ends and
// returns the rest of its block.
func (ledger *Ledger) drawAmount(entry *entry, accounts []*account) int64 {
	available := entry.head.Drawn - entry.head.Spent - entry.program.reserved
	if entry.ending {
		return -max(available, 0)
	}
	cost := entry.program.lastCost
	if entry.call != nil {
		cost = entry.call.Cost
	}
	if available >= cost || hasInFlight(accounts) {
		return 0
	}
	return ledger.blockSize(accounts, cost-available, cost)
}
