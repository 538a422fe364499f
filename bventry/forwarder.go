package bventry

import (
	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvpeer"
)

// forwarder tracks how much of one call's answer was forwarded, so that an owner that takes
// over can continue from there.
type forwarder struct {
	call     *bvpeer.Call
	emit     func(*bvpeer.CallEvent) error
	position *bvpeer.StreamPosition
	offset   int64 // tokens forwarded so far
	resend   bool  // an earlier owner may have begun the call
}

// nextCall returns the call as it is sent to the next owner.
func (forwarder *forwarder) nextCall() *bvpeer.Call {
	if !forwarder.resend {
		return forwarder.call
	}
	call, ok := proto.Clone(forwarder.call).(*bvpeer.Call)
	if !ok {
		return forwarder.call
	}
	call.Resent = true
	if forwarder.position == nil {
		return call
	}
	call.Resume = &bvpeer.StreamPosition{
		Endpoint: forwarder.position.GetEndpoint(),
		Stream:   forwarder.position.GetStream(),
		Offset:   forwarder.offset,
	}
	return call
}

// forward passes an event to emit, once. An owner that resumes a stream may send tokens
// from its start; those that the caller already has are dropped.
func (forwarder *forwarder) forward(event *bvpeer.CallEvent) error {
	if started := event.GetStarted(); started != nil {
		forwarder.position = started
		return nil
	}
	if token := event.GetToken(); token != nil {
		if token.GetOffset() < forwarder.offset {
			return nil
		}
		forwarder.offset = token.GetOffset() + 1
	}
	return forwarder.emit(event)
}
