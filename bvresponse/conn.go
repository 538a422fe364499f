// Package bvresponse rejects what servers send in place of proper HTTP/1.1 responses.
//
// net/http accepts more than RFC 9112 does, for the sake of old servers: a status of any three
// digits, names of fields with blanks, folded lines, a length beside chunks. A proxy that does so
// passes on bodies that are not the server's. Besides, a reset is reported once on a connection:
// if a write of the request gets it, reads end as after a complete response. A response without a
// length then looks complete though it is not.
//
// A Conn checks each head that it reads, interim ones included, and reports the end of a connection
// only if no write of the request failed. A Transport sends requests over such connections.
//
// # Usage
//
//	conn := bvresponse.NewConn(dialed)
//	reader := bufio.NewReader(conn)
//	conn.BeginRequest()
//	err := request.Write(conn) // also beside the reads
//	conn.EndRequest()
//	response, err := http.ReadResponse(reader, request) // a proper one, or an error
//
//	client := &http.Client{Transport: bvresponse.NewTransport(&http.Transport{DisableCompression: true})}
package bvresponse

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Conn is a connection to a server whose responses are checked while they are read.
type Conn struct {
	net.Conn

	mutex sync.Mutex // guards head
	head  headChecker

	sending sync.Mutex    // guards written and lost
	written chan struct{} // closed when the present request is written, or can't be; nil before the first
	lost    error         // the first error of a write
}

// NewConn returns a Conn over a connection that carries plain HTTP/1.1. It checks the first response.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// ExpectHead makes the Conn check another response. It is called before the response is read;
// buffered are bytes that were read with the one before.
func (conn *Conn) ExpectHead(buffered []byte) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.head = headChecker{}
	return conn.head.check(buffered)
}

// Read implements net.Conn. Its error is a *HeadError after a head that is not proper.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if headErr := conn.checkHead(buffer[:count]); headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		return count, conn.endError()
	}
	return count, err
}

func (conn *Conn) checkHead(read []byte) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.head.check(read)
}

// BeginRequest records that a request is written beside the reads, until EndRequest.
func (conn *Conn) BeginRequest() {
	conn.sending.Lock()
	defer conn.sending.Unlock()
	conn.written = make(chan struct{})
}

// EndRequest records that the request is written, or that it can't be.
func (conn *Conn) EndRequest() {
	conn.sending.Lock()
	defer conn.sending.Unlock()
	if conn.written == nil {
		return
	}
	select {
	case <-conn.written:
	default:
		close(conn.written)
	}
}

// Write implements net.Conn.
func (conn *Conn) Write(content []byte) (int, error) {
	count, err := conn.Conn.Write(content)
	if err != nil {
		conn.recordLoss(err)
	}
	return count, err
}

// recordLoss records an error of a write, but not that of endError's deadline.
func (conn *Conn) recordLoss(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return
	}
	conn.sending.Lock()
	defer conn.sending.Unlock()
	if conn.lost == nil {
		conn.lost = err
	}
}

// uploadGrace is how long after the end of a response the rest of its request may show that the server
// is gone: it answers the next bytes with a reset.
const uploadGrace = 20 * time.Millisecond

// endError returns io.EOF if the server ended the connection in order, and the error of a write of the
// request if one failed. A write that is in progress then gets some time to fail, and is interrupted: its
// error must be known before the end is believed.
func (conn *Conn) endError() error {
	conn.sending.Lock()
	written := conn.written
	conn.sending.Unlock()
	if written != nil {
		conn.awaitWritten(written)
	}
	conn.sending.Lock()
	defer conn.sending.Unlock()
	if conn.lost != nil {
		return fmt.Errorf("response broken off: %w", conn.lost)
	}
	return io.EOF
}

func (conn *Conn) awaitWritten(written <-chan struct{}) {
	select {
	case <-written:
		return
	case <-time.After(uploadGrace):
	}
	_ = conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	select {
	case <-written:
	case <-time.After(uploadGrace): // the request's body does not come
	}
}
