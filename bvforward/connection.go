package bvforward

import (
	"bufio"
	"errors"
	"io"
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
	head    *headReader
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
	head := &headReader{source: conn}
	return &connection{
		Conn:   conn,
		pool:   pool,
		head:   head,
		reader: bufio.NewReaderSize(head, bufferBytes),
		writer: bufio.NewWriterSize(conn, bufferBytes),
	}
}

// mostHeadBytes bounds the head of an answer.
const mostHeadBytes = 256 << 10

var errHeadTooLarge = errors.New("the answer's head is too large")

// headReader bounds what is read while an answer's head is parsed, which the standard
// library does not.
type headReader struct {
	source  io.Reader
	bounded bool
	left    int
}

// bound starts a head, or ends it.
func (reader *headReader) bound(bounded bool) { reader.bounded, reader.left = bounded, mostHeadBytes }

// Read implements io.Reader.
func (reader *headReader) Read(buffer []byte) (int, error) {
	if !reader.bounded {
		return reader.source.Read(buffer)
	}
	if reader.left == 0 {
		return 0, errHeadTooLarge
	}
	count, err := reader.source.Read(buffer[:min(len(buffer), reader.left)])
	reader.left -= count
	return count, err
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
