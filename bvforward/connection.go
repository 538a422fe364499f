package bvforward

import (
	"bufio"
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"balsamvalve.example/bvclock"
)

// connection is one TCP connection to an endpoint. It carries one request at a
// time.
type connection struct {
	net.Conn
	pool    *pool
	reader  *bufio.Reader
	writer  *bufio.Writer
	idleAt  bvclock.Time // since when it is idle
	keep    bvclock.Duration
	written atomic.Bool // the request has been written whole
}

// bufferBytes is the size of each connection's two buffers. A request's head
// fits in; larger buffers cost memory for each of some hundred connections.
const bufferBytes = 4 << 10

func newConnection(conn net.Conn, pool *pool) *connection {
	return &connection{
		Conn:   conn,
		pool:   pool,
		reader: bufio.NewReaderSize(conn, bufferBytes),
		writer: bufio.NewWriterSize(conn, bufferBytes),
	}
}

// spent reports whether an idle connection can't be used any more: the
// endpoint closed it, or sent bytes that belong to no request, such as a
// second answer to the one before. Without this look, the next request would
// be lost with the connection, or be given the stray answer.
func (connection *connection) spent() bool {
	if connection.reader.Buffered() > 0 {
		return true
	}
	socket, ok := connection.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err != nil || !quiet
}
