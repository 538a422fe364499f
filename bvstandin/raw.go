package bvstandin

import (
	"bufio"
	"net"
	"net/http"
)

// rawBufferBytes is small, so that the body of a request stays on its connection.
const rawBufferBytes = 1 << 10

// ServeRaw emulates a server that may be broken: for the first request of each connection it calls
// answer, which writes any bytes, and then closes the connection. The body of the request has not been
// read. It returns when the listener is closed.
func ServeRaw(listener net.Listener, answer func(conn *net.TCPConn, request *http.Request)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if socket, ok := conn.(*net.TCPConn); ok {
			go serveRaw(socket, answer)
		}
	}
}

func serveRaw(conn *net.TCPConn, answer func(conn *net.TCPConn, request *http.Request)) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, rawBufferBytes))
	if err != nil {
		return
	}
	answer(conn, request)
}
