package bvfront

import (
	"net/url"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvquota"
	"balsamvalve.example/bvverdict"
)

// confirmRetry is the retry delay of a host that can't confirm keys: it queries the store
// or other hosts several times a second.
const confirmRetry = 300 * bvclock.Millisecond

// authorize finds the workspace that holds the caller's key in the current desired state.
func (call *call) authorize() error {
	view := call.front.parts.State.View()
	if !view.Table.NeedsKeys() {
		return nil
	}
	call.keysRequired = true
	if call.route.Open {
		return nil
	}
	workspace, found := view.Table.WorkspaceByKey(call.front.parts.Wire.Key(call.request.Header))
	if !found {
		return call.unknownKeyError(view.UpToDate)
	}
	if !view.KeysConfirmed {
		call.front.parts.Counters.Add("keys_unconfirmed", 1)
		return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the key can't be confirmed").WithRetryAfter(call.confirmRetryAfter())
	}
	call.workspace = workspace
	return nil
}

// unknownKeyError denies the key only if no newer version of the desired state can contain
// it.
func (call *call) unknownKeyError(upToDate bool) error {
	if !upToDate {
		return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the key can't be checked").WithRetryAfter(call.confirmRetryAfter())
	}
	call.front.parts.Counters.Add("keys_unknown", 1)
	return bvverdict.Refuse(bvverdict.Unauthorized, "no workspace holds the key")
}

// confirmRetryAfter returns the retry delay of a host that can't confirm keys. Callers
// retry only a few times, so in an outage of the store the delay is the longest that they
// honor.
func (call *call) confirmRetryAfter() bvclock.Duration {
	if call.front.parts.Store.UnreachableFor() == 0 {
		return confirmRetry
	}
	return max(confirmRetry, bvclock.Duration(retryShare*float64(call.remaining())))
}

// chargeQuota counts the request against its workspace's usage cap.
func (call *call) chargeQuota() error {
	if call.workspace == nil || !call.workspace.HasCap() {
		return nil
	}
	decision := call.front.parts.Quotas.Take(bvquota.Request{Workspace: call.workspace.Name, NewProgram: call.mayBeFirst()})
	if decision.Outcome == bvquota.Refused && call.mayBeFirst() && call.front.parts.Dispatcher.MayHaveEarlierTurns(&call.placement) {
		decision = call.front.parts.Quotas.Take(bvquota.Request{Workspace: call.workspace.Name})
	}
	switch decision.Outcome {
	case bvquota.Granted:
		return call.waitForQuota(decision.Wait)
	case bvquota.Refused:
		call.quotaBasis = &decision.Basis
		call.front.parts.Counters.Add("quota_refused", 1)
		return bvverdict.Refuse(bvverdict.LimitExceeded, "workspace %s is beyond its usage cap", call.workspace.Name).
			WithRetryAfter(decision.Wait)
	}
	call.front.parts.Counters.Add("quota_undecided", 1)
	return bvverdict.Refuse(bvverdict.Overloaded, "the usage cap of workspace %s can't be checked", call.workspace.Name).
		WithRetryAfter(decision.Wait)
}

// waitForQuota waits until a request within the cap may run.
func (call *call) waitForQuota(wait bvclock.Duration) error {
	if wait == 0 {
		return nil
	}
	call.front.parts.Counters.Add("quota_held", 1)
	select {
	case <-bvclock.After(wait):
		return nil
	case <-call.ctx.Done():
		return call.deadlineError()
	}
}

// mayBeFirst reports whether the request may be the first one of its program, judged by
// its metadata only.
func (call *call) mayBeFirst() bool {
	return call.service.Engine != nil && call.metadata.Program != "" && !call.metadata.Continues()
}

// workspaceName returns the name of the caller's workspace, or "" if there is none.
func (call *call) workspaceName() string {
	if call.workspace == nil {
		return ""
	}
	return call.workspace.Name
}

// scopedID returns the system-wide name of an ID that a caller chose. Workspaces choose IDs
// independently, and must not be able to access each other's programs and turns by ID.
func (call *call) scopedID(id string) string {
	if !call.keysRequired || id == "" {
		return id
	}
	return "@" + url.PathEscape(call.workspaceName()) + "/" + id
}

// priority returns the request's rank, from its workspace and its route.
func (call *call) priority() int { return call.workspace.PriorityOn(call.route) }
