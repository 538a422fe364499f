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

// Begun returns the hashes of programs that this host has reserved tokens of
// since the last call, for telling other hosts.
func (keeper *Keeper) Begun() []uint64 {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	begun := keeper.begun
	keeper.begun = nil
	return begun
}

// Holds notes that another host has reserved tokens of programs.
func (keeper *Keeper) Holds(host string, programs []uint64) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for _, program := range programs {
		keeper.noteHolder(program, host)
	}
}

// Holders returns the addresses of hosts that had turns of a program.
func (keeper *Keeper) Holders(program string) []string {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	hosts, _ := keeper.holders.Get(xxhash.Sum64String(program))
	return hosts
}

func (keeper *Keeper) noteHolder(program uint64, host string) {
	hosts, _ := keeper.holders.Get(program)
	if len(hosts) < hostsPerProgram && !slices.Contains(hosts, host) {
		keeper.holders.Add(program, append(slices.Clone(hosts), host))
	}
}

// wholeAsks is how many hosts are asked for a whole turn before the store: the
// program's grantor, and one that has turns of it.
const wholeAsks = 2

// borrow gets tokens from this host's own grants and from the hosts that may have
// some of the program: a whole turn from one of the first, or, with partial, all
// that they can spare. It reports whether all that were asked have answered.
func (keeper *Keeper) borrow(ctx context.Context, account *account, turn Turn, partial bool) (reservation *Reservation, sure bool) {
	withheld := keeper.grantHere(account, turn, partial)
	if reservation := keeper.takeFree(account, turn); reservation != nil {
		return reservation, true
	}
	sure = !withheld
	grantor := keeper.grantor(account.program)
	tried := make(map[string]bool)
	for asks := 0; partial || asks < wholeAsks; {
		host, found := keeper.lenderOf(account, grantor, tried)
		if !found {
			return nil, sure && !keeper.mayBeUnheard(account)
		}
		tried[host] = true
		keeper.mutex.Lock()
		need := turn.Most - account.free
		keeper.mutex.Unlock()
		want := turn.want(need, partial)
		want.Grantor = host == grantor
		asked, answered := keeper.lenders.Ask(ctx, host, want)
		sure = sure && (answered || !asked && host != grantor)
		if reservation := keeper.takeFree(account, turn); reservation != nil {
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

// mayBeUnheard reports whether the program's record names a host that this one
// may only not have heard of yet. A host that has just started can't tell it
// from a dead one, and would tell the program that its budget is spent while
// most of it lies unspent there.
func (keeper *Keeper) mayBeUnheard(account *account) bool {
	if keeper.clock.Now().Sub(keeper.started) >= acquaintance {
		return false
	}
	keeper.mutex.Lock()
	granted := slices.Collect(maps.Keys(account.record.Granted))
	keeper.mutex.Unlock()
	if keeper.grantors != nil {
		if holder, found := keeper.grantors.Holder(account.program); found {
			granted = append(granted, holder.Incarnation)
		}
	}
	return slices.ContainsFunc(granted, func(incarnation string) bool {
		_, heard := keeper.lenders.Address(incarnation)
		return incarnation != keeper.host && !heard
	})
}

// lenderOf returns a host that may have tokens of a program and was not tried
// yet: its grantor, one that told so, one that others told of, or one that its
// record names.
// Digests alone are not enough: a program's next turn can come before they do,
// and a host that has just started has heard none, so that a program was told
// that its budget is spent while most of it lay unspent at other hosts.
func (keeper *Keeper) lenderOf(account *account, grantor string, tried map[string]bool) (host string, found bool) {
	if grantor != "" && !tried[grantor] {
		return grantor, true
	}
	keeper.mutex.Lock()
	told, _ := keeper.holders.Get(xxhash.Sum64String(account.program))
	granted := slices.Sorted(maps.Keys(account.record.Granted))
	keeper.mutex.Unlock()
	for _, host := range told {
		if !tried[host] {
			return host, true
		}
	}
	for _, incarnation := range granted {
		host, heard := keeper.lenders.Address(incarnation)
		if incarnation != keeper.host && heard && !tried[host] {
			return host, true
		}
	}
	return "", false
}

// Lend gives up tokens for another host: at least as many as it asks for, or
// none; with partial, as many as there are up to that. They come from what this
// host holds, or from what it may grant. The answer names the other hosts that may
// hold tokens of the program, as far as they are known here: no record names
// those that hold only what was lent to them.
func (keeper *Keeper) Lend(borrower string, want Want) Given {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	hash := xxhash.Sum64String(want.Program)
	given := Given{Tokens: keeper.lendFree(want)}
	given.Holders, _ = keeper.holders.Get(hash)
	if given.Tokens < want.Tokens {
		want.Tokens -= given.Tokens
		granted, withheld := keeper.grant(want)
		given.Tokens, given.Withheld = given.Tokens+granted, withheld
	}
	if given.Tokens > 0 {
		keeper.noteHolder(hash, borrower)
	}
	return given
}

// lendFree gives up what this host holds of a program's budget.
func (keeper *Keeper) lendFree(want Want) int {
	account := keeper.accounts[want.Program]
	if account == nil || keeper.keeps || account.free < want.Tokens && !want.Partial {
		return 0
	}
	lent := min(want.Tokens, account.free)
	account.free -= lent
	return lent
}

// Lent takes in tokens that another host has given up, and the hosts that it
// named.
func (keeper *Keeper) Lent(program string, tokens int, holders []string) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	hash := xxhash.Sum64String(program)
	for _, holder := range holders {
		keeper.noteHolder(hash, holder)
	}
	account := keeper.accounts[program]
	if account == nil || tokens == 0 {
		return
	}
	account.free += tokens
	keeper.begun = append(keeper.begun, hash)
}
