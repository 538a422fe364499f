package bvbudget

import (
	"context"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
)

const (
	// maxHolderPrograms bounds the programs whose holders are stored.
	maxHolderPrograms = 20_000
	// maxHoldersPerProgram bounds the holders stored for a program. Its turns and
	// sub-agents arrive at about as many hosts at once.
	maxHoldersPerProgram = 8
)

// TakeReservedPrograms returns the hashes of programs of which this host has reserved
// tokens since the last call. They are reported to other hosts.
func (allocator *Allocator) TakeReservedPrograms() []uint64 {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	programs := allocator.reservedPrograms
	allocator.reservedPrograms = nil
	return programs
}

// AddHolder records that another host has reserved tokens of programs.
func (allocator *Allocator) AddHolder(host string, programs []uint64) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	for _, program := range programs {
		allocator.recordHolder(program, host)
	}
}

// Holders returns the addresses of hosts that may hold tokens of a program.
func (allocator *Allocator) Holders(program string) []string {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	hosts, _ := allocator.holders.Get(xxhash.Sum64String(program))
	return hosts
}

func (allocator *Allocator) recordHolder(program uint64, host string) {
	hosts, _ := allocator.holders.Get(program)
	if len(hosts) < maxHoldersPerProgram && !slices.Contains(hosts, host) {
		allocator.holders.Add(program, append(slices.Clone(hosts), host))
	}
}

// maxFullRequests is how many hosts are asked for all tokens of a turn before the store:
// the program's grantor, and one host that has turns of it.
const maxFullRequests = 2

// borrow gets tokens from this host's own grants and from other hosts that may have some
// of the program: all that a turn lacks from one of the first hosts, or, with partial, as
// many as each can lend. Conclusive is false if the grantor or a host that was queried
// left open whether it has more tokens, or if a holder may not be discovered yet. The
// grantor of a program whose row has the whole budget leaves nothing open.
func (allocator *Allocator) borrow(ctx context.Context, account *account, turn Turn, partial bool) (reservation *Reservation, conclusive bool) {
	undecided := allocator.grantLocally(account, turn, partial)
	if reservation := allocator.reserveFree(account, turn); reservation != nil {
		return reservation, true
	}
	conclusive = !undecided || allocator.isRowWhole(account, turn)
	grantor := allocator.grantorAddress(account.program)
	queried := make(map[string]bool)
	for requests := 0; partial || requests < maxFullRequests; {
		host, found := allocator.nextLender(account, grantor, queried)
		if !found {
			return nil, conclusive && !allocator.hasUndiscoveredHolders(account, turn)
		}
		queried[host] = true
		allocator.mutex.Lock()
		need := turn.MaxTokens - account.free
		allocator.mutex.Unlock()
		request := turn.tokenRequest(need, partial)
		request.AsGrantor = host == grantor
		answer := allocator.lenders.RequestTokens(ctx, host, request)
		conclusive = conclusive && isConclusive(answer, allocator.isRowWhole(account, turn), host == grantor)
		if reservation := allocator.reserveFree(account, turn); reservation != nil {
			return reservation, conclusive
		}
		if answer != NotAsked {
			requests++
		}
	}
	return nil, conclusive
}

// isConclusive reports whether a host can't have more tokens after its answer. One that is silent counts as failed,
// with the tokens that it held. Where the row has the whole budget, it makes no difference what the grantor may grant.
func isConclusive(answer Answer, isWhole, isGrantor bool) bool {
	switch answer {
	case NotAsked:
		return isWhole || !isGrantor
	case Undecided:
		return isWhole
	}
	return answer == Answered
}

// discoveryTime is how long after its start a host may not have discovered all others: it
// reads their list each second at first, and digests arrive ten times a second, some of
// them lost.
const discoveryTime = 3 * bvclock.Second

// hasUndiscoveredHolders reports whether the program's record names a host that this one
// may not have discovered yet. A host that has just started can't distinguish it from a
// failed one, and would refuse the program as over budget while most of its budget is
// unspent there.
func (allocator *Allocator) hasUndiscoveredHolders(account *account, turn Turn) bool {
	if allocator.clock.Now().Sub(allocator.started) >= discoveryTime {
		return false
	}
	allocator.mutex.Lock()
	granted := slices.Collect(maps.Keys(account.record.Granted))
	allocator.mutex.Unlock()
	if !allocator.isRowWhole(account, turn) {
		if holder, found := allocator.grantors.Holder(account.program); found {
			granted = append(granted, holder.Incarnation)
		}
	}
	return slices.ContainsFunc(granted, func(incarnation string) bool {
		_, reachable := allocator.lenders.AddressOfIncarnation(incarnation)
		return incarnation != allocator.incarnation && !reachable
	})
}

// nextLender returns a host that may have tokens of a program and was not queried yet: its
// grantor, one that reported so itself or was named by another host, or one that the
// record names. Digests alone are not enough: a program's next turn can arrive before
// them, and a host that has just started has received none. The program would be refused
// as over budget while most of its budget is unspent at other hosts.
func (allocator *Allocator) nextLender(account *account, grantor string, queried map[string]bool) (host string, found bool) {
	if grantor != "" && !queried[grantor] {
		return grantor, true
	}
	allocator.mutex.Lock()
	reported, _ := allocator.holders.Get(xxhash.Sum64String(account.program))
	granted := slices.Sorted(maps.Keys(account.record.Granted))
	allocator.mutex.Unlock()
	for _, host := range reported {
		if !queried[host] {
			return host, true
		}
	}
	for _, incarnation := range granted {
		host, reachable := allocator.lenders.AddressOfIncarnation(incarnation)
		if incarnation != allocator.incarnation && reachable && !queried[host] {
			return host, true
		}
	}
	return "", false
}

// LendTokens deducts tokens for another host: at least as many as it requests, or none;
// with partial, as many as there are up to that number. They come from the tokens that
// this host holds, or from those that it may grant. The reply names the other hosts known
// here that may hold tokens of the program, because the record does not name hosts that
// hold only borrowed tokens.
func (allocator *Allocator) LendTokens(borrower string, request TokenRequest) TokenReply {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	hash := xxhash.Sum64String(request.Program)
	reply := TokenReply{Tokens: allocator.lendFree(request)}
	reply.Holders, _ = allocator.holders.Get(hash)
	if reply.Tokens < request.Tokens {
		request.Tokens -= reply.Tokens
		granted := allocator.grantTokens(request)
		reply.Tokens += granted.Tokens
		reply.Undecided = granted.Undecided
	}
	if grant := allocator.grants[request.Program]; grant != nil {
		reply.Split = grant.split
	}
	if reply.Tokens > 0 {
		allocator.recordHolder(hash, borrower)
	}
	return reply
}

// lendFree deducts tokens that this host holds of a program's budget.
func (allocator *Allocator) lendFree(request TokenRequest) int {
	account := allocator.accounts[request.Program]
	if account == nil || allocator.lendingDisabled || account.free < request.Tokens && !request.Partial {
		return 0
	}
	lent := min(request.Tokens, account.free)
	account.free -= lent
	return lent
}

// AcceptTokens adds tokens that another host has lent, and the holders that it named.
func (allocator *Allocator) AcceptTokens(program string, reply TokenReply) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	hash := xxhash.Sum64String(program)
	for _, holder := range reply.Holders {
		allocator.recordHolder(hash, holder)
	}
	account := allocator.accounts[program]
	if account == nil {
		return
	}
	account.split = account.split || reply.Split
	if reply.Tokens == 0 {
		return
	}
	account.free += reply.Tokens
	allocator.reservedPrograms = append(allocator.reservedPrograms, hash)
}
