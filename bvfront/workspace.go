package bvfront

import (
	"net/url"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvquota"
	"balsamvalve.example/bvverdict"
)

// confirmRetry is when to come back to a host that can't confirm keys: it asks again
// several times a second.
const confirmRetry = 300 * bvclock.Millisecond

// authorize finds the workspace that holds the caller's key, in the desired state as it is
// now.
func (call *call) authorize() error {
	view := call.front.parts.State.View()
	if !view.Table.NeedsKeys() {
		return nil
	}
	call.keyed = true
	if call.route.Open {
		return nil
	}
	workspace, found := view.Table.WorkspaceByKey(call.front.parts.Wire.Key(call.request.Header))
	if !found {
		return call.unknownKey(view.Certain)
	}
	if !view.KeysConfirmed {
		call.front.parts.Counters.Add("keys_unconfirmed", 1)
		return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the key can't be confirmed").WithRetryAfter(call.confirmAfter())
	}
	call.workspace = workspace
	return nil
}

// unknownKey tells that nobody holds the key only where no newer version can say
// otherwise.
func (call *call) unknownKey(certain bool) error {
	if !certain {
		return bvverdict.Refuse(bvverdict.PlatformUnavailable, "the key can't be checked").WithRetryAfter(call.confirmAfter())
	}
	call.front.parts.Counters.Add("keys_unknown", 1)
	return bvverdict.Refuse(bvverdict.Unauthorized, "no workspace holds the key")
}

// confirmAfter returns when to come back to a host that can't confirm keys. Callers come
// back a few times only, so that in an outage of the store they are sent away for as long
// as they heed.
func (call *call) confirmAfter() bvclock.Duration {
	if call.front.parts.Store.AwayFor() == 0 {
		return confirmRetry
	}
	return max(confirmRetry, bvclock.Duration(waitShare*float64(call.left())))
}

// takeQuota counts the request against its workspace's usage cap.
func (call *call) takeQuota() error {
	if call.workspace == nil || !call.workspace.HasCap() {
		return nil
	}
	decision := call.front.parts.Quotas.Take(bvquota.Request{Workspace: call.workspace.Name, NewProgram: call.mayBeFirst()})
	if decision.Outcome == bvquota.Refused && call.mayBeFirst() && call.front.parts.Dispatcher.HasEarlierTurns(&call.placement) {
		decision = call.front.parts.Quotas.Take(bvquota.Request{Workspace: call.workspace.Name})
	}
	switch decision.Outcome {
	case bvquota.Granted:
		return call.hold(decision.Wait)
	case bvquota.Refused:
		call.front.parts.Counters.Add("quota_refused", 1)
		return bvverdict.Refuse(bvverdict.LimitExceeded, "workspace %s is beyond its usage cap", call.workspace.Name).
			WithRetryAfter(decision.Wait)
	}
	call.front.parts.Counters.Add("quota_undecided", 1)
	return bvverdict.Refuse(bvverdict.Overloaded, "the usage cap of workspace %s can't be checked", call.workspace.Name).
		WithRetryAfter(decision.Wait)
}

// hold waits until a request within the cap may run.
func (call *call) hold(wait bvclock.Duration) error {
	if wait == 0 {
		return nil
	}
	call.front.parts.Counters.Add("quota_held", 1)
	select {
	case <-bvclock.After(wait):
		return nil
	case <-call.ctx.Done():
		return call.outOfTime()
	}
}

// mayBeFirst reports whether the request may be the first one of its program, as far as
// the request itself shows.
func (call *call) mayBeFirst() bool {
	return call.service.Engine != nil && call.metadata.Program != "" && !call.metadata.Continues()
}

// workspaceName returns the name of the caller's workspace, or "" where there is none.
func (call *call) workspaceName() string {
	if call.workspace == nil {
		return ""
	}
	return call.workspace.Name
}

// scoped returns the name by which an id that a caller chose is known in the system.
// Workspaces choose ids on their own, and one must not reach another one's programs
// and turns by their ids.
func (call *call) scoped(id string) string {
	if !call.keyed || id == "" {
		return id
	}
	return "@" + url.PathEscape(call.workspaceName()) + "/" + id
}

// priority returns the rank of the request.
func (call *call) priority() int { return call.workspace.PriorityOn(call.route) }
