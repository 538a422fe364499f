package bvfront

import (
	"errors"

	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvstream"
	"balsamvalve.example/bvverdict"
)

// A caller may get the rest of a stream only from endpoints of the software version that started it:
// what two versions write does not fit together, and endpoints don't check this.

// startRetentionFactor is how long a start is kept, in times of the remaining time of its attempt:
// callers resume a stream within their time limit.
const startRetentionFactor = 2

// errNotRecorded means that the first event of a stream was withheld, since its start could not be
// recorded.
var errNotRecorded = errors.New("the start of the stream can't be recorded")

func (call *call) isStream() bool { return call.route != nil && call.route.Kind == bvroute.Stream }

// resumesStream reports whether the caller has a part of the stream from an earlier attempt.
func (call *call) resumesStream() bool { return call.isStream() && call.metadata.ResumesStream() }

// streamStart returns "resumed" if the caller has a part of the stream, or "new".
func (call *call) streamStart() string {
	if call.resumesStream() {
		return "resumed"
	}
	return "new"
}

// findOrigin finds out at which service and version a resumed stream started, and restricts the call
// to it.
func (call *call) findOrigin() error {
	if !call.resumesStream() {
		return nil
	}
	if call.route.Retained {
		return call.interruptedError("a turn whose conversation is retained can't be resumed")
	}
	origin, source, err := call.front.parts.Streams.Find(call.ctx, bvstream.Query{
		Workspace: call.workspaceName(),
		Attempt:   call.metadata.Resumes,
		Content:   call.content.Request.AnyQuery,
		HostName:  call.route.Host,
	})
	call.originSource = source
	if err != nil {
		return call.unknownOriginError(err)
	}
	call.origin = origin
	service, found := call.originService()
	if !found {
		return call.interruptedError("the stream started at service " + origin.Service + ", to which the route no longer leads")
	}
	call.service = service
	call.placement.Pinned, call.placement.Version = true, origin.Version
	if call.isVersionGone() {
		return call.versionGoneError()
	}
	return nil
}

// originService returns the service at which the stream started, if the route still leads there.
func (call *call) originService() (*bvroute.Service, bool) {
	if !call.route.HasTarget(call.origin.Service) {
		return nil, false
	}
	return call.front.parts.State.Current().ServiceByName(call.origin.Service)
}

// unknownOriginError refuses a stream whose start is not known. If it may be known later, the
// refusal has the time after which to retry.
func (call *call) unknownOriginError(err error) error {
	if errors.Is(err, bvstream.ErrUnknown) {
		return bvverdict.Refuse(bvverdict.StreamInterrupted, "the version that started the stream is not known now").
			WithRetryAfter(shortRetry).WithCause(err)
	}
	return call.interruptedError("the version that started the stream is not known").WithCause(err)
}

// interruptedError refuses a stream that can never go on.
func (call *call) interruptedError(reason string) *bvverdict.Error {
	return bvverdict.Refuse(bvverdict.StreamInterrupted, "%s", reason)
}

// isVersionGone reports whether no endpoint of the stream's version accepts calls.
func (call *call) isVersionGone() bool {
	return call.front.parts.Dispatcher.OpenVersions(call.service.Name)[call.placement.Version] == 0
}

// versionGoneError refuses a stream whose version has gone. A host that does not have the full list
// of endpoints yet may find one later.
func (call *call) versionGoneError() error {
	err := call.interruptedError("no endpoint of " + call.service.Name + " at version " + call.placement.Version + " accepts the request")
	if !call.front.parts.List.IsFull() {
		return err.WithRetryAfter(shortRetry)
	}
	return err
}

// prepareStart prepares the choice of an endpoint at which a stream starts: not at a version whose
// first event would have to wait for the store, if another one serves.
func (call *call) prepareStart() {
	if !call.isStream() || call.resumesStream() || call.placement.Pinned {
		return
	}
	call.placement.StartsStream = call.route.Resumable
	call.placement.Unstored = nil
	for _, version := range call.front.parts.Dispatcher.Versions(call.service.Name) {
		origin := bvstream.Origin{Service: call.service.Name, Version: version}
		if version == "" || call.front.parts.Streams.EnsureStored(bvstream.HostOrigin{HostName: call.route.Host, Origin: origin}) {
			continue
		}
		if call.placement.Unstored == nil {
			call.placement.Unstored = make(map[string]bool)
		}
		call.placement.Unstored[version] = true
	}
}

// recordStart records that the stream may start at an endpoint, while the endpoint works on it. From
// then on, the call stays at the endpoint's version: a record does not change.
func (call *call) recordStart(endpoint bvplatform.Endpoint) {
	if !call.isStream() || call.resumesStream() || call.recording != nil && endpoint.Version == call.origin.Version {
		return
	}
	call.origin = bvstream.Origin{Service: call.service.Name, Version: endpoint.Version}
	start := bvstream.Start{
		Content: call.content.Request.AnyQuery, Origin: call.origin, Endpoint: endpoint.Name, HostName: call.route.Host,
	}
	key, hasKey := bvstream.NewKey(call.workspaceName(), call.metadata.ID)
	if call.route.Resumable && hasKey && endpoint.Version != "" {
		start.Key = key
		call.placement.Pinned, call.placement.Version = true, endpoint.Version
	}
	call.recording = call.front.parts.Streams.Record(start, startRetentionFactor*call.remaining())
}

// awaitRecording waits until the start is recorded, before the first event is passed on: the caller may
// be cut off right after it, and resume the stream at another host.
func (call *call) awaitRecording() error {
	if call.recording == nil {
		return nil
	}
	startedAt := call.front.parts.Clock.Now()
	err := call.recording.Await(call.ctx)
	call.front.parts.Counters.Observe("stream_start_wait", call.front.parts.Clock.Now().Sub(startedAt))
	if err == nil {
		return nil
	}
	if call.ctx.Err() != nil {
		return call.brokenAnswerError("no event before the deadline", err)
	}
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.PlatformUnavailable, "%s", errNotRecorded).WithCause(errors.Join(errNotRecorded, err))
}

// originFields returns the fields of the log that state what was known of a resumed stream.
func (call *call) originFields() map[string]any {
	fields := map[string]any{
		"resumes": call.metadata.Resumes, "last_event": call.metadata.LastEventID,
		"hosts_asked": call.originSource.Asked, "hosts_answered": call.originSource.Answered, "origins": call.originSource.Origins,
	}
	if call.service != nil {
		fields["open_versions"] = call.front.parts.Dispatcher.OpenVersions(call.service.Name)
	}
	if call.originSource.Name != "" {
		fields["known_version"], fields["known_from"], fields["known_ms"] = call.origin.Version, call.originSource.Name, int64(call.originSource.Age)
	}
	return fields
}
