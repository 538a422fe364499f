package bvforward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvresponse"
)

// connection is one TCP connection to an endpoint. It carries one request at a
// time.
type connection struct {
	*bvresponse.Conn
	pool           *pool
	head           *headReader
	reader         *bufio.Reader
	writer         *bufio.Writer
	idleSince      bvclock.Time // when it was returned to its pool
	idleTimeout    bvclock.Duration
	requestWritten atomic.Bool // the request was written completely
	carried        []uint64    // hashes of the IDs of the requests that it has carried
}

// maxRequests is the maximum number of requests over one connection. It bounds the IDs that
// are kept.
const maxRequests = 1000

// record records that the connection carries a request.
func (connection *connection) record(id string) {
	connection.carried = append(connection.carried, xxhash.Sum64String(id))
}

// hasCarried reports whether the connection has carried a request with the ID. A second one
// must not follow: a late copy of the answer to the first would pass for its answer.
func (connection *connection) hasCarried(id string) bool {
	return slices.Contains(connection.carried, xxhash.Sum64String(id))
}

// isFirstRequest reports whether no request was sent over the connection before the present
// one: its first answer can't be an additional answer to an earlier request.
func (connection *connection) isFirstRequest() bool { return len(connection.carried) == 1 }

// bufferBytes is the size of each connection's two buffers. A request's head fits in;
// larger buffers would cost memory on each of several hundred connections.
const bufferBytes = 4 << 10

func newConnection(conn net.Conn, pool *pool) *connection {
	checked := bvresponse.NewConn(conn)
	head := &headReader{source: checked}
	return &connection{
		Conn:   checked,
		pool:   pool,
		head:   head,
		reader: bufio.NewReaderSize(head, bufferBytes),
		writer: bufio.NewWriterSize(checked, bufferBytes),
	}
}

// maxHeadBytes bounds the head of an answer.
const maxHeadBytes = 256 << 10

var errHeadTooLarge = errors.New("the answer's head is too large")

// headReader limits the bytes read while an answer's head is parsed; http.ReadResponse
// has no limit.
type headReader struct {
	source  io.Reader
	bounded bool
	left    int
}

// setBounded turns the limit on before a head is parsed, and off after it.
func (reader *headReader) setBounded(bounded bool) {
	reader.bounded, reader.left = bounded, maxHeadBytes
}

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

// isStale reports whether an idle connection can't be reused: the endpoint closed it,
// or sent bytes that belong to no request, such as a second answer to the previous one.
// Without this check, the next request would be lost with the connection, or would get
// the stray answer.
func (connection *connection) isStale() bool {
	if connection.reader.Buffered() > 0 {
		return true
	}
	socket, ok := connection.Conn.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	empty := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err != nil || !empty
}
