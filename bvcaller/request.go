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

// Headers of the caller API.
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
	headerTrace        = "Bv-Trace" // response header
)

// maxIDBytes bounds the ids that callers choose.
const maxIDBytes = 200

// maxDeadline bounds how long a call may take.
const maxDeadline = bvclock.Hour

type memberHandler func(writer http.ResponseWriter, request *http.Request, member string)

// requireMember passes only requests with the key of a member's caller to next.
func (api *API) requireMember(next memberHandler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(headerTrace, bvtrace.ID(request.Context()))
		member, role, found := api.ring.Find(bearerToken(request))
		if !found || role != bvkey.Caller {
			api.writeError(writer, request, bvverdict.Refuse(bvverdict.Unauthorized, "no member has this key"))
			return
		}
		request.Body = http.MaxBytesReader(writer, request.Body, api.bodyLimit)
		next(writer, request.WithContext(context.WithValue(request.Context(), memberKey{}, member)), member)
	}
}

// memberKey is the key of the member's name in a request's context.
type memberKey struct{}

// memberOf returns the member that the request's key belongs to; empty if there is none.
func memberOf(request *http.Request) string {
	member, _ := request.Context().Value(memberKey{}).(string)
	return member
}

func bearerToken(request *http.Request) string {
	const prefix = "Bearer "
	header := request.Header.Get("Authorization")
	if len(header) <= len(prefix) || header[:len(prefix)] != prefix {
		return ""
	}
	return header[len(prefix):]
}

// readCall builds a call from the headers that all kinds of call have in common.
// single reports whether the call has no program and gets one of its own.
func readCall(request *http.Request, member string, body []byte) (call *bvpeer.Call, single bool, err error) {
	header := request.Header
	call = &bvpeer.Call{
		Member:      member,
		Program:     header.Get(headerProgram),
		Parent:      header.Get(headerParent),
		Request:     header.Get(headerRequest),
		Class:       header.Get(headerClass),
		FullHistory: header.Get(headerHistory) == "full",
		Digest:      requestDigest(request, body),
	}
	for _, name := range []string{call.Program, call.Parent, call.Request, call.Class} {
		if len(name) > maxIDBytes {
			return nil, false, badRequest("an id is longer than %d bytes", maxIDBytes)
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
		return bvverdict.Refuse(bvverdict.DeadlinePassed, "the deadline had passed when the request arrived")
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
		// Without an id a repeat can't be distinguished from a new request.
		return badRequest("an unrepeatable request needs %s", headerRequest)
	}
	if unrepeatable && header.Get(headerProgram) == "" {
		return badRequest("an unrepeatable request needs %s", headerProgram)
	}
	call.Unrepeatable = unrepeatable
	return nil
}

// readResent reads whether the caller has sent the request before. Otherwise a host
// without a record of the first attempt could refuse the second with the verdict
// "not run", and the caller would apply that to both.
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

// requestDigest returns the digest by which a repeat of a request is distinguished
// from a different request with the same id.
func requestDigest(request *http.Request, body []byte) string {
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
