package bvbudget

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlease"
)

// Grantors tells which host grants a program's first half from its memory.
type Grantors interface {
	// Holder returns the host that may grant, as far as this host knows; false
	// where it knows none.
	Holder(program string) (bvlease.Host, bool)
	// MayGrant reports whether this host alone may grant for the program now.
	// It must never be true for a host while a grant of another one can still be
	// spent.
	MayGrant(now bvclock.Time, program string, retain bvclock.Duration) bool
}

// SetGrantors lets programs' first halves be granted from memory. It is called
// before the first turn, on all hosts or on none.
func (allocator *Allocator) SetGrantors(grantors Grantors) { allocator.grantors = grantors }

// grant is the first half of a program's budget, at its grantor.
type grant struct {
	left   int // tokens not granted yet
	usedAt bvclock.Time
	retain bvclock.Duration
}

// over reports whether the program can't come back any more.
func (grant *grant) over(now bvclock.Time) bool {
	return now.Sub(grant.usedAt) > grant.retain+bvlease.MaxProgramTime
}

// half is how many tokens each half has. The two may pass the budget together by
// one turn at its most, which is allowed; with half of the budget only, many more
// programs would need both halves.
func half(budget, most int) int { return (budget + most) / 2 }

// stored is the part of a budget that the program's row holds.
func (allocator *Allocator) stored(turn Turn) int {
	if allocator.grantors == nil {
		return turn.Budget
	}
	return half(turn.Budget, turn.MaxTokens)
}

// grant gives out tokens of a program's first half if this host may. For what
// withheld means, see TokenReply. Hosts that have just started read lists that are not
// complete yet, and each names another grantor; whoever is asked in its place must
// not deny what the right one has. The caller holds the mutex.
func (allocator *Allocator) grant(want TokenRequest) (tokens int, withheld bool) {
	now := allocator.clock.Now()
	if allocator.grantors == nil {
		return 0, false
	}
	if !allocator.grantors.MayGrant(now, want.Program, want.Retain) {
		holder, found := allocator.grantors.Holder(want.Program)
		return 0, want.AsGrantor || !found || holder.Incarnation == allocator.host
	}
	found := allocator.grants[want.Program]
	if found == nil {
		found = &grant{left: half(want.Budget, want.MaxTokens)}
		allocator.grants[want.Program] = found
	}
	found.usedAt, found.retain = now, max(found.retain, want.Retain)
	tokens = block(found.left, want.Tokens, want.MaxTokens)
	if found.left < want.Tokens {
		tokens = 0
		if want.Partial {
			tokens = found.left
		}
	}
	found.left -= tokens
	return tokens, false
}

// grantHere grants for a turn of this host's own.
func (allocator *Allocator) grantHere(account *account, turn Turn, partial bool) (withheld bool) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	need := turn.MaxTokens - account.free
	if need <= 0 {
		return false
	}
	tokens, withheld := allocator.grant(turn.want(need, partial))
	account.free += tokens
	return withheld
}

// want is what a turn needs of another host.
func (turn Turn) want(tokens int, partial bool) TokenRequest {
	return TokenRequest{
		Program: turn.Program, Tokens: tokens, Partial: partial,
		Budget: turn.Budget, MaxTokens: turn.MaxTokens, Retain: turn.Retain,
	}
}

// grantor returns the address of another host that may grant for a program, or ""
// where there is none.
func (allocator *Allocator) grantor(program string) string {
	if allocator.grantors == nil {
		return ""
	}
	holder, found := allocator.grantors.Holder(program)
	if !found || holder.Incarnation == allocator.host {
		return ""
	}
	return holder.Address
}

// GrantCount returns how many programs this host has granted for.
func (allocator *Allocator) GrantCount() int {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return len(allocator.grants)
}

// forgetGrants drops the grants of programs that are over. The caller holds the
// mutex.
func (allocator *Allocator) forgetGrants(now bvclock.Time) {
	for program, grant := range allocator.grants {
		if grant.over(now) {
			delete(allocator.grants, program)
		}
	}
}

// GrantState is what a grantor knows of one program, for the next process of its
// host.
type GrantState struct {
	Program string           `json:"program"`
	Left    int              `json:"left"`   // tokens not granted yet
	Idle    bvclock.Duration `json:"idle"`   // since the last grant, in milliseconds
	Retain  bvclock.Duration `json:"retain"` // how long the program may pause, in milliseconds
}

// ExportGrants returns all grants of programs that are not over. It is called when
// this host grants nothing more.
func (allocator *Allocator) ExportGrants() []GrantState {
	now := allocator.clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	allocator.forgetGrants(now)
	granted := make([]GrantState, 0, len(allocator.grants))
	for program, grant := range allocator.grants {
		granted = append(granted, GrantState{
			Program: program, Left: grant.left, Idle: now.Sub(grant.usedAt), Retain: grant.retain,
		})
	}
	return granted
}

// ImportGrants takes over the grants of this host's last process, before this one
// grants anything.
func (allocator *Allocator) ImportGrants(granted []GrantState) {
	now := allocator.clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	for _, known := range granted {
		allocator.grants[known.Program] = &grant{left: known.Left, usedAt: now.Add(-known.Idle), retain: known.Retain}
	}
}
