package bvbudget

import (
	"context"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
)

const (
	// maxHolders bounds the programs of other hosts that are remembered.
	maxHolders = 20_000
	// hostsPerProgram bounds the hosts remembered for a program: its turns
	// and sub-agents come through about as many at once.
	hostsPerProgram = 8
)

// TakeReservedPrograms returns the hashes of programs that this host has reserved tokens of
// since the last call, for telling other hosts.
func (allocator *Allocator) TakeReservedPrograms() []uint64 {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	begun := allocator.begun
	allocator.begun = nil
	return begun
}

// AddHolder notes that another host has reserved tokens of programs.
func (allocator *Allocator) AddHolder(host string, programs []uint64) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	for _, program := range programs {
		allocator.noteHolder(program, host)
	}
}

// Holders returns the addresses of hosts that had turns of a program.
func (allocator *Allocator) Holders(program string) []string {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	hosts, _ := allocator.holders.Get(xxhash.Sum64String(program))
	return hosts
}

func (allocator *Allocator) noteHolder(program uint64, host string) {
	hosts, _ := allocator.holders.Get(program)
	if len(hosts) < hostsPerProgram && !slices.Contains(hosts, host) {
		allocator.holders.Add(program, append(slices.Clone(hosts), host))
	}
}

// wholeAsks is how many hosts are asked for a whole turn before the store: the
// program's grantor, and one that has turns of it.
const wholeAsks = 2

// borrow gets tokens from this host's own grants and from the hosts that may have
// some of the program: a whole turn from one of the first, or, with partial, all
// that they can spare. It reports whether all that were asked have answered.
func (allocator *Allocator) borrow(ctx context.Context, account *account, turn Turn, partial bool) (reservation *Reservation, sure bool) {
	withheld := allocator.grantHere(account, turn, partial)
	if reservation := allocator.takeFree(account, turn); reservation != nil {
		return reservation, true
	}
	sure = !withheld
	grantor := allocator.grantor(account.program)
	tried := make(map[string]bool)
	for asks := 0; partial || asks < wholeAsks; {
		host, found := allocator.lenderOf(account, grantor, tried)
		if !found {
			return nil, sure && !allocator.mayMissHosts(account)
		}
		tried[host] = true
		allocator.mutex.Lock()
		need := turn.MaxTokens - account.free
		allocator.mutex.Unlock()
		want := turn.want(need, partial)
		want.AsGrantor = host == grantor
		asked, answered := allocator.lenders.RequestTokens(ctx, host, want)
		sure = sure && (answered || !asked && host != grantor)
		if reservation := allocator.takeFree(account, turn); reservation != nil {
			return reservation, sure
		}
		if asked {
			asks++
		}
	}
	return nil, sure
}

// acquaintance is how long after its start a host may not have heard of all
// others: it reads their list each second at first, and digests come ten times a
// second, some of them lost.
const acquaintance = 3 * bvclock.Second

// mayMissHosts reports whether the program's record names a host that this one
// may only not have heard of yet. A host that has just started can't tell it
// from a dead one, and would tell the program that its budget is spent while
// most of it lies unspent there.
func (allocator *Allocator) mayMissHosts(account *account) bool {
	if allocator.clock.Now().Sub(allocator.started) >= acquaintance {
		return false
	}
	allocator.mutex.Lock()
	granted := slices.Collect(maps.Keys(account.record.Granted))
	allocator.mutex.Unlock()
	if allocator.grantors != nil {
		if holder, found := allocator.grantors.Holder(account.program); found {
			granted = append(granted, holder.Incarnation)
		}
	}
	return slices.ContainsFunc(granted, func(incarnation string) bool {
		_, heard := allocator.lenders.AddressOfIncarnation(incarnation)
		return incarnation != allocator.host && !heard
	})
}

// lenderOf returns a host that may have tokens of a program and was not tried
// yet: its grantor, one that told so, one that others told of, or one that its
// record names.
// Digests alone are not enough: a program's next turn can come before they do,
// and a host that has just started has heard none, so that a program was told
// that its budget is spent while most of it lay unspent at other hosts.
func (allocator *Allocator) lenderOf(account *account, grantor string, tried map[string]bool) (host string, found bool) {
	if grantor != "" && !tried[grantor] {
		return grantor, true
	}
	allocator.mutex.Lock()
	told, _ := allocator.holders.Get(xxhash.Sum64String(account.program))
	granted := slices.Sorted(maps.Keys(account.record.Granted))
	allocator.mutex.Unlock()
	for _, host := range told {
		if !tried[host] {
			return host, true
		}
	}
	for _, incarnation := range granted {
		host, heard := allocator.lenders.AddressOfIncarnation(incarnation)
		if incarnation != allocator.host && heard && !tried[host] {
			return host, true
		}
	}
	return "", false
}

// LendTokens gives up tokens for another host: at least as many as it asks for, or
// none; with partial, as many as there are up to that. They come from what this
// host holds, or from what it may grant. The answer names the other hosts that may
// hold tokens of the program, as far as they are known here: no record names
// those that hold only what was lent to them.
func (allocator *Allocator) LendTokens(borrower string, want TokenRequest) TokenReply {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	hash := xxhash.Sum64String(want.Program)
	given := TokenReply{Tokens: allocator.lendFree(want)}
	given.Holders, _ = allocator.holders.Get(hash)
	if given.Tokens < want.Tokens {
		want.Tokens -= given.Tokens
		granted, withheld := allocator.grant(want)
		given.Tokens, given.Undecided = given.Tokens+granted, withheld
	}
	if given.Tokens > 0 {
		allocator.noteHolder(hash, borrower)
	}
	return given
}

// lendFree gives up what this host holds of a program's budget.
func (allocator *Allocator) lendFree(want TokenRequest) int {
	account := allocator.accounts[want.Program]
	if account == nil || allocator.keeps || account.free < want.Tokens && !want.Partial {
		return 0
	}
	lent := min(want.Tokens, account.free)
	account.free -= lent
	return lent
}

// AcceptTokens takes in tokens that another host has given up, and the hosts that it
// named.
func (allocator *Allocator) AcceptTokens(program string, tokens int, holders []string) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	hash := xxhash.Sum64String(program)
	for _, holder := range holders {
		allocator.noteHolder(hash, holder)
	}
	account := allocator.accounts[program]
	if account == nil || tokens == 0 {
		return
	}
	account.free += tokens
	allocator.begun = append(allocator.begun, hash)
}
