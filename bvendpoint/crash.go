package bvendpoint

import (
	"context"
	"errors"
	"net"
	"syscall"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvverdict"
)

// checkDelay is the time before each attempt to connect to an endpoint at which a call broke: the
// sockets of a process that crashes are not all closed at the same time.
const checkDelay = 10 * bvclock.Millisecond

// brokenCallError returns the error of a call without a complete answer. The endpoint counts as
// crashed only if it refuses connections: answers are also lost for other reasons, and a request
// must not be blamed for those.
func (client *Client) brokenCallError(ctx context.Context, exchange *exchange, address string, cause error) error {
	failed := exchange.noAnswerError(cause)
	if OutcomeOf(failed) != bvgate.Crashed || client.hasEnded(ctx, address) {
		return failed
	}
	return failure(bvverdict.MayHaveRun, bvverdict.EndpointFailed, bvgate.Silent, cause, "the endpoint's answer was lost")
}

// hasEnded reports whether an address refuses connections. An endpoint that is about to end
// may still accept a connection, but does not hold it.
func (client *Client) hasEnded(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, orDefault(client.CheckTimeout, DefaultCheckTimeout).Std())
	defer cancel()
	for ctx.Err() == nil {
		select {
		case <-bvclock.After(checkDelay):
		case <-ctx.Done():
		}
		conn, err := client.dialer().DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		awaitClose(ctx, conn)
	}
	return false
}

// awaitClose waits until the other end closes a connection, and closes it.
func awaitClose(ctx context.Context, conn net.Conn) {
	deadline, _ := ctx.Deadline()
	_ = conn.SetReadDeadline(deadline) // fails only if the connection is closed
	_, _ = conn.Read(make([]byte, 1))  // returns an error in any case: nothing was sent
	_ = conn.Close()
}
