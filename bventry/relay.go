package bventry

import (
	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvpeer"
)

// relay remembers how far one call's answer has got, so that an owner that
// takes over can go on from there.
type relay struct {
	call     *bvpeer.Call
	emit     func(*bvpeer.CallEvent) error
	position *bvpeer.StreamPosition
	offset   int64 // tokens handed on so far
	lost     bool  // an owner that had the call was lost
}

// next returns the call as the next owner is to see it.
func (relay *relay) next() *bvpeer.Call {
	if !relay.lost {
		return relay.call
	}
	call, ok := proto.Clone(relay.call).(*bvpeer.Call)
	if !ok {
		return relay.call
	}
	call.Resent = true
	if relay.position == nil {
		return call
	}
	call.Resume = &bvpeer.StreamPosition{
		Endpoint: relay.position.GetEndpoint(),
		Stream:   relay.position.GetStream(),
		Offset:   relay.offset,
	}
	return call
}

// forward hands an event on, once. An owner that resumes a stream may send
// tokens from its beginning; those that the caller has are dropped.
func (relay *relay) forward(event *bvpeer.CallEvent) error {
	if started := event.GetStarted(); started != nil {
		relay.position = started
		return nil
	}
	if token := event.GetToken(); token != nil {
		if token.GetOffset() < relay.offset {
			return nil
		}
		relay.offset = token.GetOffset() + 1
	}
	return relay.emit(event)
}
