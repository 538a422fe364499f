package bvowner

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvtrace"
)

// releaseTimeout bounds one round of releases for a program; the ledger repeats it.
const releaseTimeout = 3 * bvclock.Second

// releaseProgram releases an ended program's cache on the endpoints that hold it.
func (owner *Owner) releaseProgram(released bvledger.Release) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Std())
	defer cancel()
	owner.observeProgramEnd(released.Key)
	for _, name := range released.Endpoints {
		done := false
		if name == bvledger.AnyEndpoint {
			done = owner.releaseEverywhere(ctx, released.Key)
		} else {
			done = owner.releaseAt(ctx, released.Key, name)
		}
		if done {
			owner.apply(func(now bvclock.Time) { owner.ledger.ConfirmRelease(now, released.Key, name) })
		}
	}
}

// releaseEverywhere reports whether no endpoint holds a cache of the program any
// longer.
func (owner *Owner) releaseEverywhere(ctx context.Context, key bvledger.ProgramKey) bool {
	engines := owner.parts.EndpointList.Engines()
	if len(engines) == 0 {
		// The list may be empty because none has been received yet.
		return owner.parts.EndpointList.IsGone(bvledger.AnyEndpoint)
	}
	all := true
	for _, endpoint := range engines {
		all = owner.releaseAt(ctx, key, endpoint) && all
	}
	return all
}

// releaseAt reports whether the endpoint no longer holds a cache of the program. An
// endpoint that is gone has lost its memory.
func (owner *Owner) releaseAt(ctx context.Context, key bvledger.ProgramKey, name string) bool {
	endpoint, found := owner.parts.EndpointList.Endpoint(name)
	if !found {
		return owner.parts.EndpointList.IsGone(name)
	}
	owner.parts.Permits.EndProgram(ctx, bvpermit.PoolOf(endpoint), key.Member, key.Program)
	err := owner.parts.Endpoints.Release(ctx, endpoint.Address, key.Member, key.Program)
	owner.metrics.Add("releases", 1)
	if err != nil {
		owner.metrics.Add("releases_failed", 1)
	}
	bvtrace.LogHop(ctx, owner.parts.Log, "cache release requested", err, "endpoint", name)
	return err == nil
}
