package bvcaller

import (
	"context"
	"encoding/hex"
	"net/http"
	"strconv"

	"crypto/rand"
	"crypto/sha256"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

// Request headers of the caller API.
const (
	headerProgram      = "Bv-Program"
	headerTurn         = "Bv-Turn"
	headerParent       = "Bv-Parent"
	headerRequest      = "Bv-Request"
	headerClass        = "Bv-Class"
	headerDeadline     = "Bv-Deadline-Ms"
	headerUnrepeatable = "Bv-Unrepeatable"
	headerHistory      = "Bv-History"
	headerResent       = "Bv-Resent"
	headerTrace        = "Bv-Trace" // of an answer
)

// maxName bounds ids that callers choose, in bytes.
const maxName = 200

// maxDeadline bounds how long a call may take.
const maxDeadline = bvclock.Hour

type memberHandler func(writer http.ResponseWriter, request *http.Request, member string)

// member lets only requests with a member's key through.
func (api *API) member(next memberHandler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(headerTrace, bvtrace.ID(request.Context()))
		member, role, found := api.ring.Find(bearer(request))
		if !found || role != bvkey.Caller {
			api.fail(writer, request, bvverdict.Refuse(bvverdict.Unauthorized, "no member has this key"))
			return
		}
		request.Body = http.MaxBytesReader(writer, request.Body, api.bodyLimit)
		next(writer, request.WithContext(context.WithValue(request.Context(), memberKey{}, member)), member)
	}
}

// memberKey is the key of the member's name in a request's context.
type memberKey struct{}

// memberOf returns the member whose key the request bears; empty if none's.
func memberOf(request *http.Request) string {
	member, _ := request.Context().Value(memberKey{}).(string)
	return member
}

func bearer(request *http.Request) string {
	const prefix = "Bearer "
	header := request.Header.Get("Authorization")
	if len(header) <= len(prefix) || header[:len(prefix)] != prefix {
		return ""
	}
	return header[len(prefix):]
}

// callOf reads the headers that every kind of call shares.
func callOf(request *http.Request, member string, body []byte) (call *bvpeer.Call, single bool, err error) {
	header := request.Header
	call = &bvpeer.Call{
		Member:      member,
		Program:     header.Get(headerProgram),
		Parent:      header.Get(headerParent),
		Request:     header.Get(headerRequest),
		Class:       header.Get(headerClass),
		FullHistory: header.Get(headerHistory) == "full",
		Digest:      digestOf(request, body),
	}
	for _, name := range []string{call.Program, call.Parent, call.Request, call.Class} {
		if len(name) > maxName {
			return nil, false, badRequest("an id is longer than %d bytes", maxName)
		}
	}
	if err := readTurn(header, call); err != nil {
		return nil, false, err
	}
	if err := readDeadline(header, call); err != nil {
		return nil, false, err
	}
	if err := readUnrepeatable(header, call); err != nil {
		return nil, false, err
	}
	if err := readResent(header, call); err != nil {
		return nil, false, err
	}
	single = call.Program == ""
	if single {
		call.Program = "single-" + newID()
	}
	if call.Request == "" {
		call.Request = newID()
	}
	return call, single, nil
}

func readTurn(header http.Header, call *bvpeer.Call) error {
	text := header.Get(headerTurn)
	if text == "" {
		return nil
	}
	turn, err := strconv.ParseInt(text, 10, 32)
	if err != nil || turn < 1 {
		return badRequest("%s must be a whole number from 1", headerTurn)
	}
	call.Turn = int32(turn)
	return nil
}

func readDeadline(header http.Header, call *bvpeer.Call) error {
	text := header.Get(headerDeadline)
	if text == "" {
		return nil
	}
	deadline, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return badRequest("%s must be a whole number of milliseconds", headerDeadline)
	}
	if deadline <= 0 {
		return bvverdict.Refuse(bvverdict.DeadlinePassed, "the deadline had passed when the request came")
	}
	call.DeadlineMs = min(deadline, int64(maxDeadline))
	return nil
}

func readUnrepeatable(header http.Header, call *bvpeer.Call) error {
	text := header.Get(headerUnrepeatable)
	if text == "" {
		return nil
	}
	unrepeatable, err := strconv.ParseBool(text)
	if err != nil {
		return badRequest("%s must be true or false", headerUnrepeatable)
	}
	if unrepeatable && header.Get(headerRequest) == "" {
		// Without an id a repeat can't be told from a new request.
		return badRequest("an unrepeatable request needs %s", headerRequest)
	}
	if unrepeatable && header.Get(headerProgram) == "" {
		return badRequest("an unrepeatable request needs %s", headerProgram)
	}
	call.Unrepeatable = unrepeatable
	return nil
}

// readResent takes in that the caller has sent the request before. A host that
// knows nothing of the first sending could otherwise say of the second that it
// was not run, and the caller would take that for both.
func readResent(header http.Header, call *bvpeer.Call) error {
	text := header.Get(headerResent)
	if text == "" {
		return nil
	}
	resent, err := strconv.ParseBool(text)
	if err != nil {
		return badRequest("%s must be true or false", headerResent)
	}
	call.Resent = resent
	return nil
}

func badRequest(reason string, args ...any) error {
	return bvverdict.Refuse(bvverdict.BadRequest, reason, args...)
}

// digestOf tells a repeat of a request from another one under the same id.
func digestOf(request *http.Request, body []byte) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(request.Method + " " + request.URL.RequestURI() + "\n"))
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

func newID() string {
	var random [12]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}
