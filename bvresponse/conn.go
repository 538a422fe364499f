// Package bvresponse rejects what servers send in place of proper HTTP/1.1 responses.
//
// net/http accepts more than RFC 9112 does, for the sake of old servers: a status of any three
// digits, names of fields with blanks, folded lines, a length beside chunks. A proxy that does so
// passes on bodies that are not the server's. Besides, a reset is reported once on a connection:
// if a write of the request gets it, reads end as after a complete response. A response without a
// length then looks complete though it is not.
//
// A Conn checks each head that it reads, interim ones included, and reports the end of a connection
// only if no write found it lost. A Transport sends requests over such connections.
//
// # Usage
//
//	conn := bvresponse.NewConn(dialed)
//	reader := bufio.NewReader(conn)
//	if err := conn.ExpectHead(nil); err != nil { ... }
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
	"syscall"
	"time"
)

// Conn is a connection to a server whose responses are checked while they are read.
type Conn struct {
	net.Conn

	mutex sync.Mutex // guards head
	head  headChecker

	writing sync.Mutex // held during a write; guards lost
	lost    error      // the first error of a write that shows that the connection was lost
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

// endError returns io.EOF if the server ended the connection in order. If a write found the connection
// lost, it returns that error. A write that is still in progress is interrupted: its result is not
// needed after the end of the response.
func (conn *Conn) endError() error {
	_ = conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	conn.writing.Lock()
	defer conn.writing.Unlock()
	if conn.lost != nil {
		return fmt.Errorf("response broken off: %w", conn.lost)
	}
	return io.EOF
}

// Write implements net.Conn.
func (conn *Conn) Write(content []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	count, err := conn.Conn.Write(content)
	if conn.lost == nil && showsLoss(err) {
		conn.lost = err
	}
	return count, err
}

// showsLoss reports whether an error of a write means that the connection was lost before the server
// ended it. A write after the end of a connection gets EPIPE, also if it is reset later.
func showsLoss(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
