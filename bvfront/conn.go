package bvfront

import (
	"context"
	"net"
	"sync"
	"time"
)

// callerConn is a caller's connection that can be closed while it awaits a request, but not once a byte of the
// request was read: a request that is served needs the connection for its answer.
type callerConn struct {
	net.Conn
	onClose func(conn *callerConn)

	mutex    sync.Mutex
	isRead   bool      // bytes were read since it was accepted or began to await its next request
	closing  string    // why it is being closed; "": it is not
	deadline time.Time // of reads
}

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// resetOnClose makes the connection of a request end with a reset when it is closed.
func resetOnClose(ctx context.Context) {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return
	}
	if socket, ok := conn.Conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0) // fails only on a closed connection
	}
}

// Read implements net.Conn. Without a byte, it fails once the connection is being closed.
func (conn *callerConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count == 0 {
		return count, err
	}
	conn.beginRequest()
	return count, err
}

// beginRequest records that a byte of a request was read. The connection stays open for its answer.
func (conn *callerConn) beginRequest() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.isRead = true
	if conn.closing != "" {
		conn.closing = ""
		_ = conn.Conn.SetReadDeadline(conn.deadline) // fails only on a closed connection
	}
}

// SetReadDeadline implements net.Conn.
func (conn *callerConn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.deadline = deadline
	if conn.closing != "" {
		return nil
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (conn *callerConn) Close() error {
	conn.onClose(conn)
	return conn.Conn.Close()
}

// awaitRequest records that the last request on the connection was answered.
func (conn *callerConn) awaitRequest() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.isRead = false
}

// closeUnread makes the server close the connection unless it reads a byte of a request first.
func (conn *callerConn) closeUnread(reason string) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.isRead || conn.closing != "" {
		return
	}
	conn.closing = reason
	_ = conn.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read that waits; fails only on a closed connection
}

// closingReason returns why the connection is being closed; "" if its caller closes it, or after an answer.
func (conn *callerConn) closingReason() string {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.closing
}
