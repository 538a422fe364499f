package bvfront

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvforward"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvsuspect"
)

// checkTimeout bounds one check of an endpoint at which a call broke.
const checkTimeout = 500 * bvclock.Millisecond

// checkDelays are the times before each check. An endpoint that runs at the first one may still
// be about to end: the sockets of a process that crashes are not all closed at the same time.
var checkDelays = []bvclock.Duration{10 * bvclock.Millisecond, 90 * bvclock.Millisecond, 400 * bvclock.Millisecond}

// endpointCheck is a series of checks of an endpoint at which a call broke.
type endpointCheck struct {
	first chan struct{} // closed when the first result is recorded
	last  chan struct{} // closed when the last one is recorded
}

// checkEndpoint starts to check whether an endpoint still runs after a call broke there.
func (front *Front) checkEndpoint(broken bvsuspect.BrokenCall, endpoint bvplatform.Endpoint) *endpointCheck {
	check := &endpointCheck{first: make(chan struct{}), last: make(chan struct{})}
	go front.runCheck(check, broken, endpoint)
	return check
}

// runCheck checks the endpoint until it has ended or all checks are made.
func (front *Front) runCheck(check *endpointCheck, broken bvsuspect.BrokenCall, endpoint bvplatform.Endpoint) {
	defer close(check.last)
	defer front.recoverPanic()
	previous := bvforward.Unknown
	for number, delay := range checkDelays {
		<-bvclock.After(delay)
		result := front.checkOnce(endpoint)
		if number == 0 || result != previous {
			front.parts.Suspects.RecordCheck(broken, result)
		}
		if number == 0 {
			close(check.first)
		}
		if result == bvforward.Refused {
			return
		}
		previous = result
	}
}

func (front *Front) checkOnce(endpoint bvplatform.Endpoint) bvforward.Liveness {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout.Std())
	defer cancel()
	return front.parts.Endpoints.Check(ctx, endpoint)
}

// awaitCheck waits until the endpoint of the last send is checked once, if it is being checked.
func (call *call) awaitCheck() {
	if call.check == nil {
		return
	}
	select {
	case <-call.check.first:
	case <-call.ctx.Done():
	}
	call.check = nil
}
