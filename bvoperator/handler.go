// Package bvoperator serves the operators' table over HTTP and contains the client that the
// command line uses. It only translates between HTTP and bvtable, which has all rules.
//
//	GET   /table                         rows that the key's member may see
//	PATCH /table                         edit cells, all or none
//	GET   /table/csv                     the same rows as CSV
//	PUT   /table/csv[?remove=true]       edit all cells that differ from the export
//	GET   /table/history[?below=&limit=] changes, newest first
//	GET   /table/proposals               changes of shares and their consents
//	POST  /table/proposals               propose shares
//	POST  /table/proposals/{id}/accept   consent to a proposal
//	GET   /status                        hosts, endpoints and members
//
// Each request has the header "Authorization: Bearer <key>". An edit may have an
// Idempotency-Key, with which it can be sent again after a lost answer.
//
// # Usage
//
//	handler := &bvoperator.Handler{Editor: editor, Ring: serve.Ring}
//	handler.Register(mux)
package bvoperator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvstatus"
	"balsamvalve.example/bvtable"
	"balsamvalve.example/bvverdict"
)

const (
	maxBodyBytes        = 8 << 20 // bytes; 10,000 rows take about 1 MB
	defaultHistoryLimit = 50
	maxHistoryLimit     = 1000
	attemptHeader       = "Idempotency-Key"
	csvType             = "text/csv; charset=utf-8"
	jsonType            = "application/json"
)

// Handler serves the table and the status. Editor and Ring must be set.
type Handler struct {
	Editor *bvtable.Editor
	Ring   func() *bvkey.Ring // called for each request, so that keys can be replaced
	// Status returns the status that a member may see; nil: GET /status is not served.
	Status func(ctx context.Context, member string) bvstatus.Status
}

// Register adds the handler's routes.
func (handler *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /table", handler.authorized(handler.get))
	mux.HandleFunc("PATCH /table", handler.authorized(handler.patch))
	mux.HandleFunc("GET /table/csv", handler.authorized(handler.export))
	mux.HandleFunc("PUT /table/csv", handler.authorized(handler.importCSV))
	mux.HandleFunc("GET /table/history", handler.authorized(handler.history))
	mux.HandleFunc("GET /table/proposals", handler.authorized(handler.proposals))
	mux.HandleFunc("POST /table/proposals", handler.authorized(handler.propose))
	mux.HandleFunc("POST /table/proposals/{id}/accept", handler.authorized(handler.accept))
	if handler.Status != nil {
		mux.HandleFunc("GET /status", handler.authorized(handler.status))
	}
}

// View is the body of GET /table.
type View struct {
	Member    string        `json:"member"` // member of the key; other members' rows have the share only
	Version   int64         `json:"version"`
	Confirmed bool          `json:"confirmed"` // false: the platform is unavailable, and the rows are those in force on this host
	Rows      []bvtable.Row `json:"rows"`
}

// Outcome is the body of an answer to an edit.
type Outcome struct {
	Report   bvtable.Report    `json:"report"`
	Proposal *bvtable.Proposal `json:"proposal,omitempty"`
}

type actorHandler func(writer http.ResponseWriter, request *http.Request, actor bvtable.Actor) error

// authorized returns a handler that authenticates the request's key, calls the route with its
// actor, and writes the error that the route returns.
func (handler *Handler) authorized(route actorHandler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(writer, request.Body, maxBodyBytes)
		actor, err := handler.actor(request)
		if err == nil {
			err = route(writer, request, actor)
		}
		if err != nil {
			WriteError(writer, err)
		}
	}
}

// AdminOnly passes on only requests with an admin key. It protects totals over all members:
// with two members, an operator could subtract its own figures and see the other's load.
func (handler *Handler) AdminOnly(next http.Handler) http.HandlerFunc {
	return handler.authorized(func(writer http.ResponseWriter, request *http.Request, actor bvtable.Actor) error {
		if actor.Role != bvkey.Admin {
			return bvverdict.Refuse(bvverdict.Forbidden, "a key of role %s has no access to totals over all members", actor.Role)
		}
		next.ServeHTTP(writer, request)
		return nil
	})
}

func (handler *Handler) actor(request *http.Request) (bvtable.Actor, error) {
	key, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found {
		return bvtable.Actor{}, bvverdict.Refuse(bvverdict.Unauthorized, "the request has no key")
	}
	member, role, found := handler.Ring().Find(key)
	if !found {
		return bvtable.Actor{}, bvverdict.Refuse(bvverdict.Unauthorized, "the key is not known")
	}
	if role != bvkey.Operator && role != bvkey.Admin {
		return bvtable.Actor{}, bvverdict.Refuse(bvverdict.Forbidden, "a key of role %s has no access here", role)
	}
	return bvtable.Actor{Member: member, Role: role}, nil
}

func (handler *Handler) status(writer http.ResponseWriter, request *http.Request, actor bvtable.Actor) error {
	return writeJSON(writer, handler.Status(request.Context(), actor.Member))
}

func (handler *Handler) get(writer http.ResponseWriter, request *http.Request, actor bvtable.Actor) error {
	table, confirmed, err := handler.table(request)
	if err != nil {
		return err
	}
	return writeJSON(writer, View{Member: actor.Member, Version: table.Version(), Confirmed: confirmed, Rows: table.View(actor.Member)})
}

// table returns the newest table, or in an outage of the store the table that is in force on
// this host, so that operators can still see it.
func (handler *Handler) table(request *http.Request) (table *bvtable.Table, confirmed bool, err error) {
	table, err = handler.Editor.Get(request.Context())
	if err == nil {
		return table, true, nil
	}
	if table = handler.Editor.Follower.Snapshot(); table != nil {
		return table, false, nil
	}
	return nil, false, err
}

func (handler *Handler) patch(writer http.ResponseWriter, request *http.Request, actor bvtable.Actor) error {
	var edit bvtable.Edit
	if err := readJSON(request, &edit); err != nil {
		return err
	}
	if edit.Attempt == "" {
		edit.Attempt = request.Header.Get(attemptHeader)
	}
	report, err := handler.Editor.Set(request.Context(), actor, edit)
	if err != nil {
		return err
	}
	return writeJSON(writer, Outcome{Report: report})
}

func (handler *Handler) export(writer http.ResponseWriter, request *http.Request, actor bvtable.Actor) error {
	table, err := handler.Editor.Get(request.Context())
	if err != nil {
		return err
	}
	writer.Header().Set("Content-Type", csvType)
	return bvtable.Export(writer, table, actor.Member)
}

func (handler *Handler) importCSV(writer http.ResponseWriter, request *http.Request, actor bvtable.Actor) error {
	remove := request.URL.Query().Get("remove") == "true"
	report, err := handler.Editor.Import(request.Context(), actor, request.Header.Get(attemptHeader), request.Body, remove)
	if err != nil {
		return err
	}
	return writeJSON(writer, Outcome{Report: report})
}

func (handler *Handler) history(writer http.ResponseWriter, request *http.Request, actor bvtable.Actor) error {
	below, err := queryNumber(request, "below", 0)
	if err != nil {
		return err
	}
	limit, err := queryNumber(request, "limit", defaultHistoryLimit)
	if err != nil {
		return err
	}
	changes, err := handler.Editor.History(request.Context(), below, int(min(limit, maxHistoryLimit)))
	if err != nil {
		return err
	}
	visible := []bvtable.Change{}
	for _, change := range changes {
		if change, shown := change.VisibleTo(actor.Member); shown {
			visible = append(visible, change)
		}
	}
	return writeJSON(writer, visible)
}

func (handler *Handler) proposals(writer http.ResponseWriter, request *http.Request, _ bvtable.Actor) error {
	proposals, err := handler.Editor.Proposals(request.Context())
	if err != nil {
		return err
	}
	return writeJSON(writer, proposals)
}

func (handler *Handler) propose(writer http.ResponseWriter, request *http.Request, actor bvtable.Actor) error {
	var body struct {
		Shares []bvtable.MemberShare `json:"shares"`
	}
	if err := readJSON(request, &body); err != nil {
		return err
	}
	proposal, report, err := handler.Editor.Propose(request.Context(), actor, request.Header.Get(attemptHeader), body.Shares)
	if err != nil {
		return err
	}
	return writeJSON(writer, Outcome{Report: report, Proposal: &proposal})
}

func (handler *Handler) accept(writer http.ResponseWriter, request *http.Request, actor bvtable.Actor) error {
	proposal, report, err := handler.Editor.Accept(request.Context(), actor, request.Header.Get(attemptHeader), request.PathValue("id"))
	if err != nil {
		return err
	}
	return writeJSON(writer, Outcome{Report: report, Proposal: &proposal})
}

func queryNumber(request *http.Request, name string, initial int64) (int64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return initial, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return 0, bvverdict.Refuse(bvverdict.BadRequest, "%s=%q is not a whole number", name, text)
	}
	return number, nil
}

func readJSON(request *http.Request, body any) error {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return bvverdict.Refuse(bvverdict.BadRequest, "the body can't be read").WithCause(err)
	}
	return nil
}

func writeJSON(writer http.ResponseWriter, body any) error {
	writer.Header().Set("Content-Type", jsonType)
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(body)
}
