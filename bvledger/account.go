package bvledger

import (
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

// accountRow counts what a program has drawn from its budget, for itself and
// for its sub-agents. It stands beside the head row because sub-agents on
// other hosts write it too, which must not look like a change of owner.
type accountRow struct {
	Parent string `json:"parent,omitempty"`
	Budget int64  `json:"budget"` // 0 means unbounded
	Drawn  int64  `json:"drawn"`
}

// account is this host's view of an account row. The view may be old: every
// write is conditional on its version, and a conflict has it read again.
type account struct {
	key     string
	row     accountRow
	durable accountRow // as last read or written
	version int64
	known   bool
	busy    bool // an entry that writes it is under way
}

func (account *account) take(row bvplatform.Row) error {
	value, err := decode[accountRow](row)
	if err != nil {
		return err
	}
	if account.busy || account.known && row.Version < account.version {
		return nil
	}
	account.row = value
	account.durable = value
	account.version = row.Version
	account.known = true
	return nil
}

func (account *account) bounded() bool {
	return account.row.Budget > 0
}

// left is what may still be drawn.
func (account *account) left() int64 {
	return account.row.Budget - account.row.Drawn
}

// maxDepth bounds the chain of parents, so that a chain that comes back to
// itself ends.
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

// chain returns the accounts that the program draws from: its own and those
// of its ancestors, each of which must have room for what a descendant
// spends. The second result names rows that must be read first.
func (ledger *Ledger) chain(program *program) (accounts []*account, missing []string, _ *bvverdict.Error) {
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

// draw is what one entry changes in one account.
type draw struct {
	account *account
	row     accountRow
}

// anyBounded reports whether the program has to draw at all.
func anyBounded(accounts []*account) bool {
	for _, account := range accounts {
		if account.bounded() {
			return true
		}
	}
	return false
}

// room is the most that all the accounts allow to draw.
func room(accounts []*account) int64 {
	least := int64(-1)
	for _, account := range accounts {
		if account.bounded() && (least < 0 || account.left() < least) {
			least = max(account.left(), 0)
		}
	}
	return least
}

// smallestBudget is the tightest budget of the accounts.
func smallestBudget(accounts []*account) int64 {
	var smallest int64
	for _, account := range accounts {
		if account.bounded() && (smallest == 0 || account.row.Budget < smallest) {
			smallest = account.row.Budget
		}
	}
	return smallest
}

// blockShare keeps a block below this part of the budget, so that what a
// takeover counts as spent stays small.
const blockShare = 8

// blockSize returns how much to draw so that need is covered, and later calls
// of the same cost too where there is room; 0 if need can't be covered.
func (ledger *Ledger) blockSize(accounts []*account, need, cost int64) int64 {
	available := room(accounts)
	if need > available {
		return 0
	}
	wanted := min(ledger.settings.BlockCalls*cost, smallestBudget(accounts)/blockShare)
	return min(max(need, wanted), available)
}

func anyBusy(accounts []*account) bool {
	for _, account := range accounts {
		if account.busy {
			return true
		}
	}
	return false
}
