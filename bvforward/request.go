package bvforward

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"

	"balsamvalve.example/bvplatform"
)

// Request is a request to an endpoint.
type Request struct {
	Endpoint bvplatform.Endpoint
	ID       string // repeated by the endpoint in its answer; required
	Method   string
	Target   string // path and query, exactly as the caller sent them
	Host     string
	Header   http.Header
	Body     []byte
}

// hopByHop lists the headers that apply to one connection only (RFC 9110,
// section 7.6.1), and those that writeHead derives from the request.
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

// DropHopByHop removes the headers that apply to one connection only, and those named
// in the Connection header except for protected ones: a client must not be able to
// remove a forwarded header by naming it there.
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

// writeHead writes the request line and the headers like http.Request.Write, which
// would parse and re-encode the target.
func (request *Request) writeHead(writer *bufio.Writer) error {
	_, _ = fmt.Fprintf(writer, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	_ = request.Header.WriteSubset(writer, hopByHop)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		_, _ = writer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, err := writer.WriteString("\r\n") // a bufio.Writer returns its first error again
	return err
}
