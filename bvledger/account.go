package bvledger

import (
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// accountRow records how much a program has drawn from its budget, for itself and for
// its sub-agents. It is separate from the head row because sub-agents on other hosts
// write it too, which must not be taken for a change of owner.
type accountRow struct {
	Parent string `json:"parent,omitempty"`
	Budget int64  `json:"budget"` // 0 means unbounded
	Drawn  int64  `json:"drawn"`
}

// account is this host's view of an account row. The view may be outdated: every write
// is conditional on its version, and after a conflict the row is read again.
type account struct {
	key      string
	row      accountRow
	durable  accountRow // as last read or written
	version  int64
	known    bool
	inFlight bool // an entry that writes the row is in flight
}

func (account *account) update(row bvplatform.Row) error {
	value, err := decode[accountRow](row)
	if err != nil {
		return err
	}
	if account.inFlight || account.known && row.Version < account.version {
		return nil
	}
	account.row = value
	account.durable = value
	account.version = row.Version
	account.known = true
	return nil
}

func (account *account) isBounded() bool {
	return account.row.Budget > 0
}

// remaining returns how much may still be drawn.
func (account *account) remaining() int64 {
	return account.row.Budget - account.row.Drawn
}

// maxDepth bounds the chain of parents, so that a cycle in it is not followed forever.
const maxDepth = 16

func (ledger *Ledger) account(key ProgramKey) *account {
	name := AccountKey(key)
	found := ledger.accounts[name]
	if found == nil {
		found = &account{key: name}
		ledger.accounts[name] = found
	}
	return found
}

// accountChain returns the accounts that the program draws from: its own and those of
// its ancestors, each of which must cover what a descendant spends. The second result
// lists the keys of rows that must be read first.
func (ledger *Ledger) accountChain(program *program) (accounts []*account, missing []string, _ *bvverdict.Error) {
	own := ledger.account(program.key)
	if !own.known {
		return nil, []string{AccountKey(program.key)}, nil
	}
	own.row.Parent = program.head.Parent
	if program.limitsKnown {
		own.row.Budget = program.limits.Budget
	}
	accounts = append(accounts, own)
	parent := program.head.Parent
	for parent != "" {
		key := ProgramKey{Member: program.key.Member, Program: parent}
		ancestor := ledger.account(key)
		if !ancestor.known {
			return nil, []string{AccountKey(key)}, nil
		}
		if ancestor.version == 0 {
			return nil, nil, bvverdict.Refuse(bvverdict.UnknownProgram, "the parent program %q is not known", parent)
		}
		if len(accounts) == maxDepth {
			return nil, nil, bvverdict.Refuse(bvverdict.LimitExceeded, "more than %d programs above one another", maxDepth)
		}
		accounts = append(accounts, ancestor)
		parent = ancestor.row.Parent
	}
	return accounts, nil, nil
}

// draw is the change of one account by one entry.
type draw struct {
	account *account
	row     accountRow
}

// hasBounded reports whether any of the accounts has a budget, so that the program has
// to draw at all.
func hasBounded(accounts []*account) bool {
	for _, account := range accounts {
		if account.isBounded() {
			return true
		}
	}
	return false
}

// remainingBudget returns the largest draw that all the accounts allow, or -1 if none
// of them is bounded.
func remainingBudget(accounts []*account) int64 {
	lowest := int64(-1)
	for _, account := range accounts {
		if account.isBounded() && (lowest < 0 || account.remaining() < lowest) {
			lowest = max(account.remaining(), 0)
		}
	}
	return lowest
}

// minBudget returns the smallest budget of the accounts, or 0 if none is bounded.
func minBudget(accounts []*account) int64 {
	var smallest int64
	for _, account := range accounts {
		if account.isBounded() && (smallest == 0 || account.row.Budget < smallest) {
			smallest = account.row.Budget
		}
	}
	return smallest
}

// blockDivisor limits a block to this fraction of the budget, 1/blockDivisor, so that a
// takeover, which counts the block as spent, loses little.
const blockDivisor = 8

// blockSize returns how much to draw to cover need, and if the accounts allow it also
// later calls of the same cost; 0 if need can't be covered.
func (ledger *Ledger) blockSize(accounts []*account, need, cost int64) int64 {
	available := remainingBudget(accounts)
	if need > available {
		return 0
	}
	wanted := min(ledger.settings.BlockCalls*cost, minBudget(accounts)/blockDivisor)
	return min(max(need, wanted), available)
}

func hasInFlight(accounts []*account) bool {
	for _, account := range accounts {
		if account.inFlight {
			return true
		}
	}
	return false
}
