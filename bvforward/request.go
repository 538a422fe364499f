package bvforward

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"

	"balsamvalve.example/bvplatform"
)

// Request is one request for one endpoint.
type Request struct {
	Endpoint bvplatform.Endpoint
	ID       string // that the endpoint's answer bears
	Method   string
	Target   string // path and query, exactly as the caller sent them
	Host     string
	Header   http.Header
	Body     []byte
}

// hopByHop are the headers that concern one connection only (RFC 9110,
// section 7.6.1), and those that are written from the body.
var hopByHop = map[string]bool{
	"Connection":        true,
	"Proxy-Connection":  true,
	"Keep-Alive":        true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Content-Length":    true,
	"Expect":            true,
	"Host":              true,
}

// DropHopByHop removes the headers that concern one connection only, and
// those that the Connection header names, except for the protected ones: a
// client must not make a forwarded header disappear by naming it there.
func DropHopByHop(header http.Header, named []string, protected func(name string) bool) {
	for _, name := range named {
		if !protected(name) {
			header.Del(name)
		}
	}
	for name := range hopByHop {
		header.Del(name)
	}
}

// writeHead writes the request line and the headers. It writes what
// http.Request.Write would, but for the target, which that parses and encodes
// anew.
func (request *Request) writeHead(writer *bufio.Writer) error {
	_, _ = fmt.Fprintf(writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	_ = request.Header.WriteSubset(writer, hopByHop)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		_, _ = writer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, err := writer.WriteString("\r\n") // a bufio.Writer keeps its first error
	return err
}
