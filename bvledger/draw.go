package bvledger

import (
	"balsamvalve.example/bvclock"
)

// draw plans the entry's changes to accounts. It reports false when the entry
// has to wait for an account, or when its call was refused.
func (ledger *Ledger) draw(now bvclock.Time, entry *entry) bool {
	program := entry.program
	accounts, missing, err := ledger.chain(program)
	if len(missing) > 0 {
		ledger.read(program, false, missing...)
		return false
	}
	if err != nil {
		return true // no account to draw from; a call was refused for it, so this is an end
	}
	own := accounts[0]
	if anyBounded(accounts) || entry.ending {
		if anyBusy(accounts) && (entry.ending || ledger.mustDraw(entry)) {
			ledger.starved = append(ledger.starved, program)
			if entry.ending || entry.claim || !program.mustWrite() {
				return false
			}
			entry.call = nil
		}
		entry.amount = ledger.amount(entry, accounts)
	}
	if entry.amount == 0 {
		if !own.busy && (own.version == 0 || own.row != own.durable) {
			entry.draws = []draw{{account: own, row: own.row}}
		}
		return true
	}
	for _, account := range accounts {
		row := account.row
		row.Drawn += entry.amount
		entry.draws = append(entry.draws, draw{account: account, row: row})
	}
	entry.head.Drawn += entry.amount
	return true
}

func (ledger *Ledger) mustDraw(entry *entry) bool {
	return entry.call != nil && entry.call.Cost > entry.head.Drawn-entry.head.Spent
}

// amount is what the entry draws; negative when a program ends and returns
// the rest of its block.
func (ledger *Ledger) amount(entry *entry, accounts []*account) int64 {
	available := entry.head.Drawn - entry.head.Spent - entry.program.reserved
	if entry.ending {
		return -max(available, 0)
	}
	cost := entry.program.lastCost
	if entry.call != nil {
		cost = entry.call.Cost
	}
	if available >= cost || anyBusy(accounts) {
		return 0
	}
	return ledger.blockSize(accounts, cost-available, cost)
}
