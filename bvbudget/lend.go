package bvbudget

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxHolders bounds the programs of other hosts that are remembered; at
	// the users' grown sites some 400 are under way at once.
	maxHolders = 20_000
	// hostsPerProgram bounds the hosts remembered for a program.
	hostsPerProgram = 4
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
		hosts, _ := keeper.holders.Get(program)
		if len(hosts) < hostsPerProgram && !slices.Contains(hosts, host) {
			keeper.holders.Add(program, append(slices.Clone(hosts), host))
		}
	}
}

// borrow asks the hosts that hold tokens of the program: the first one that
// is not silent for the whole turn, or all for what they can spare.
func (keeper *Keeper) borrow(ctx context.Context, account *account, turn Turn, partial bool) *Reservation {
	keeper.mutex.Lock()
	hosts, _ := keeper.holders.Get(xxhash.Sum64String(turn.Program))
	keeper.mutex.Unlock()
	for _, host := range hosts {
		keeper.mutex.Lock()
		need := turn.Most - account.free
		keeper.mutex.Unlock()
		asked := keeper.lenders.Ask(ctx, host, turn.Program, need, partial)
		if reservation := keeper.takeFree(account, turn); reservation != nil {
			return reservation
		}
		if asked && !partial {
			return nil
		}
	}
	return nil
}

// Lend gives up tokens for another host: as many as it asks for, or none; with
// partial, as many as there are up to that.
func (keeper *Keeper) Lend(program string, tokens int, partial bool) int {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	account := keeper.accounts[program]
	if account == nil || account.free < tokens && !partial {
		return 0
	}
	lent := min(tokens, account.free)
	account.free -= lent
	return lent
}

// Lent takes in tokens that another host has given up.
func (keeper *Keeper) Lent(program string, tokens int) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if account := keeper.accounts[program]; account != nil {
		account.free += tokens
	}
}
