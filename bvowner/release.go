package bvowner

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvtrace"
)

// releaseTimeout bounds one order to one endpoint; the ledger repeats it.
const releaseTimeout = 3 * bvclock.Second

// release tells the endpoints that hold an ended program's cache to drop it.
func (owner *Owner) release(released bvledger.Release) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Std())
	defer cancel()
	owner.programEnded(released.Key)
	for _, name := range released.Endpoints {
		done := false
		if name == bvledger.AnyEndpoint {
			done = owner.releaseEverywhere(ctx, released.Key)
		} else {
			done = owner.releaseAt(ctx, released.Key, name)
		}
		if done {
			owner.do(func(now bvclock.Time) { owner.ledger.ConfirmRelease(now, released.Key, name) })
		}
	}
}

// releaseEverywhere reports whether no endpoint holds anything of the program
// any more.
func (owner *Owner) releaseEverywhere(ctx context.Context, key bvledger.ProgramKey) bool {
	engines := owner.parts.EndpointList.Engines()
	if len(engines) == 0 {
		return owner.parts.EndpointList.IsGone(bvledger.AnyEndpoint) // or no list has come yet
	}
	all := true
	for _, endpoint := range engines {
		all = owner.releaseAt(ctx, key, endpoint) && all
	}
	return all
}

// releaseAt reports whether the endpoint holds nothing of the program any
// more. One that is gone has lost its memory.
func (owner *Owner) releaseAt(ctx context.Context, key bvledger.ProgramKey, name string) bool {
	endpoint, found := owner.parts.EndpointList.Endpoint(name)
	if !found {
		return owner.parts.EndpointList.IsGone(name)
	}
	owner.parts.Permits.EndProgram(ctx, bvpermit.PoolOf(endpoint), key.Member, key.Program)
	err := owner.parts.Endpoints.Release(ctx, endpoint.Address, key.Member, key.Program)
	owner.measure.Add("releases", 1)
	if err != nil {
		owner.measure.Add("releases_failed", 1)
	}
	bvtrace.LogHop(ctx, owner.parts.Log, "cache release asked for", err, "endpoint", name)
	return err == nil
}
