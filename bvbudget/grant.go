package bvbudget

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlease"
)

// Grantors determines which host grants the in-memory part of a program's budget.
type Grantors interface {
	// Holder returns the host that may grant, as far as this host knows, or false if it
	// knows none.
	Holder(program string) (bvlease.Host, bool)
	// MayGrant reports whether this host alone may grant for the program now. It must never
	// be true for a host while a grant of another one can still be spent.
	MayGrant(now bvclock.Time, program string, retain bvclock.Duration) bool
	// OldestRule returns the oldest rule by which hosts grant, or have granted for programs that may still run.
	OldestRule(now bvclock.Time) bvlease.Rule
}

// SetGrantors enables grants from memory. It is called before the first
// turn, on all hosts or on none.
func (allocator *Allocator) SetGrantors(grantors Grantors) { allocator.grantors = grantors }

// grant is the in-memory part of a program's budget at its grantor.
type grant struct {
	split     bool // the program's first turn was not retained
	remaining int  // tokens not granted yet
	lastUsed  bvclock.Time
	retain    bvclock.Duration
}

const (
	// maxGrantAge is how long a grant is remembered after the grantor was last asked. A program
	// may go on that long with tokens that its hosts hold, or with those in its row while they
	// can't reach the grantor; one that was forgotten would be granted its part once more.
	maxGrantAge = 6 * bvclock.Hour
	// maxOldGrants bounds the grants that are remembered, in memory of some megabytes. Beyond
	// it, only the recent ones are.
	maxOldGrants = 40_000
	// grantSweepInterval is the time between two searches for grants to forget.
	grantSweepInterval = 10 * bvclock.Second
)

// isRecent reports whether the program is likely to have further turns.
func (grant *grant) isRecent(now bvclock.Time) bool {
	return now.Sub(grant.lastUsed) <= grant.retain+bvlease.MaxProgramTime+expiryMargin
}

// memoryDivisor is the part of a budget that its grantor grants from memory, besides one turn's maximum: a third, for
// the first turns of a program, which can run while the store is unavailable. It can't be spent once the grantor is
// lost, so the row has the rest.
const memoryDivisor = 3

// memoryPart returns how many tokens the in-memory part of a budget has. Together with the row's part it may exceed
// the budget by one turn's maximum, which is allowed, whichever turns' maxima the two are computed with.
func memoryPart(budget, maxTokens int) int {
	return min(budget/memoryDivisor+maxTokens, evenPart(budget, maxTokens))
}

// rowPart returns how many tokens the row's part of a budget has.
func rowPart(budget, maxTokens int) int {
	return max(budget-budget/memoryDivisor, evenPart(budget, maxTokens))
}

// evenPart returns how many tokens each part has if a turn may take most of the budget, or if hosts of older builds
// grant half of it from memory.
func evenPart(budget, maxTokens int) int { return (budget + maxTokens) / 2 }

// newGrant returns the in-memory part of the budget of a program that is new to its grantor.
func newGrant(request TokenRequest) *grant {
	part := memoryPart(request.Budget, request.MaxTokens)
	if request.Retained {
		part = min(part, request.MaxTokens)
	}
	return &grant{split: !request.Retained, remaining: part}
}

// storedBudget returns the part of a budget that is in the program's row. The caller holds the mutex.
func (allocator *Allocator) storedBudget(account *account, turn Turn) int {
	switch {
	case allocator.grantors == nil:
		return turn.Budget
	case allocator.grantors.OldestRule(allocator.clock.Now()) == bvlease.GrantHalf:
		return evenPart(turn.Budget, turn.MaxTokens)
	case allocator.hasWholeRow(account, turn):
		return turn.Budget
	}
	return rowPart(turn.Budget, turn.MaxTokens)
}

// hasWholeRow reports whether a program's row has its whole budget, so that none of it is lost with a grantor. The
// caller holds the mutex.
func (allocator *Allocator) hasWholeRow(account *account, turn Turn) bool {
	if allocator.grantors == nil {
		return true
	}
	return turn.Retained && !account.split && allocator.grantors.OldestRule(allocator.clock.Now()) > bvlease.GrantThird
}

func (allocator *Allocator) isRowWhole(account *account, turn Turn) bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return allocator.hasWholeRow(account, turn)
}

// grantTokens grants tokens of a program's in-memory part if this host may. Undecided has
// the meaning it has in TokenReply: hosts that have just started have incomplete lists and
// may each choose another grantor, and one that is wrongly chosen must not deny tokens
// that the right one has. The caller holds the mutex.
func (allocator *Allocator) grantTokens(request TokenRequest) TokenReply {
	now := allocator.clock.Now()
	if allocator.grantors == nil {
		return TokenReply{}
	}
	if !allocator.grantors.MayGrant(now, request.Program, request.Retain) {
		holder, found := allocator.grantors.Holder(request.Program)
		return TokenReply{Undecided: request.AsGrantor || !found || holder.Incarnation == allocator.incarnation}
	}
	found := allocator.grants[request.Program]
	if found == nil {
		found = newGrant(request)
		allocator.grants[request.Program] = found
	}
	found.lastUsed, found.retain = now, max(found.retain, request.Retain)
	tokens := blockSize(found.remaining, request.Tokens, request.MaxTokens)
	if found.remaining < request.Tokens {
		tokens = 0
		if request.Partial {
			tokens = found.remaining
		}
	}
	found.remaining -= tokens
	return TokenReply{Tokens: tokens, Split: found.split}
}

// grantLocally grants tokens for a turn of this host.
func (allocator *Allocator) grantLocally(account *account, turn Turn, partial bool) (undecided bool) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	need := turn.MaxTokens - account.free
	if need <= 0 {
		return false
	}
	reply := allocator.grantTokens(turn.tokenRequest(need, partial))
	account.free += reply.Tokens
	account.split = account.split || reply.Split
	return reply.Undecided
}

// tokenRequest returns a request for tokens that the turn lacks.
func (turn Turn) tokenRequest(tokens int, partial bool) TokenRequest {
	return TokenRequest{
		Program: turn.Program, Tokens: tokens, Partial: partial,
		Budget: turn.Budget, MaxTokens: turn.MaxTokens, Retain: turn.Retain, Retained: turn.Retained,
	}
}

// grantorAddress returns the address of another host that may grant for a program, or ""
// if there is none.
func (allocator *Allocator) grantorAddress(program string) string {
	if allocator.grantors == nil {
		return ""
	}
	holder, found := allocator.grantors.Holder(program)
	if !found || holder.Incarnation == allocator.incarnation {
		return ""
	}
	return holder.Address
}

// GrantCount returns how many programs have grants at this host.
func (allocator *Allocator) GrantCount() int {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return len(allocator.grants)
}

// removeExpiredGrants removes the grants of programs that can have no further turns. The
// caller holds the mutex.
func (allocator *Allocator) removeExpiredGrants(now bvclock.Time) {
	if now < allocator.nextGrantSweep {
		return
	}
	allocator.nextGrantSweep = now.Add(grantSweepInterval)
	tooMany := len(allocator.grants) > maxOldGrants
	for program, grant := range allocator.grants {
		if now.Sub(grant.lastUsed) > maxGrantAge || tooMany && !grant.isRecent(now) {
			delete(allocator.grants, program)
		}
	}
}

// GrantState is the state of one program's grant that is handed over to the next process
// of the grantor's host.
type GrantState struct {
	Program string           `json:"program"`
	Left    int              `json:"left"`   // tokens not granted yet
	Idle    bvclock.Duration `json:"idle"`   // time since the last grant, in milliseconds
	Retain  bvclock.Duration `json:"retain"` // how long the program may pause, in milliseconds
	Split   bool             `json:"split"`  // the program's first turn was not retained
}

// ExportGrants returns the grants to hand over, the most recent ones first: all recent ones, and
// older ones up to a number in total. It is called when this host no
// longer grants.
func (allocator *Allocator) ExportGrants(most int) []GrantState {
	now := allocator.clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	granted := make([]GrantState, 0, len(allocator.grants))
	recent := 0
	for program, grant := range allocator.grants {
		if grant.isRecent(now) {
			recent++
		}
		granted = append(granted, GrantState{
			Program: program, Left: grant.remaining, Idle: now.Sub(grant.lastUsed), Retain: grant.retain, Split: grant.split,
		})
	}
	slices.SortFunc(granted, func(a, b GrantState) int { return cmp.Compare(a.Idle-a.Retain, b.Idle-b.Retain) })
	return granted[:min(len(granted), max(most, recent))]
}

// ImportGrants restores the grants of this host's last process. It is called before this
// process grants any tokens.
func (allocator *Allocator) ImportGrants(granted []GrantState) {
	now := allocator.clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	for _, state := range granted {
		allocator.grants[state.Program] = &grant{
			split: state.Split, remaining: state.Left, lastUsed: now.Add(-state.Idle), retain: state.Retain,
		}
	}
}
