package bvplatform

import (
	"encoding/json"
	"errors"
	"net/http"
)

// NewHandler serves a Store over the protocol that Client speaks.
func NewHandler(store Store) http.Handler {
	handler := &storeHandler{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/commit", handler.commit)
	mux.HandleFunc("POST /table/read", handler.read)
	mux.HandleFunc("POST /table/scan", handler.scan)
	return mux
}

type storeHandler struct {
	store Store
}

func (handler *storeHandler) commit(writer http.ResponseWriter, request *http.Request) {
	var transaction Transaction
	if !decodeRequest(writer, request, &transaction) {
		return
	}
	version, err := handler.store.Commit(request.Context(), transaction)
	WriteAnswer(writer, struct{ Version int64 }{version}, err)
}

func (handler *storeHandler) read(writer http.ResponseWriter, request *http.Request) {
	var parameters struct{ Keys []string }
	if !decodeRequest(writer, request, &parameters) {
		return
	}
	rows, err := handler.store.Read(request.Context(), parameters.Keys...)
	WriteAnswer(writer, struct{ Rows []Row }{rows}, err)
}

func (handler *storeHandler) scan(writer http.ResponseWriter, request *http.Request) {
	var parameters struct {
		Prefix string
		After  string
		Limit  int
	}
	if !decodeRequest(writer, request, &parameters) {
		return
	}
	rows, err := handler.store.Scan(request.Context(), parameters.Prefix, parameters.After, parameters.Limit)
	WriteAnswer(writer, struct{ Rows []Row }{rows}, err)
}

func decodeRequest(writer http.ResponseWriter, request *http.Request, value any) bool {
	if err := json.NewDecoder(request.Body).Decode(value); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteAnswer writes a value, or an error with the status that Client decodes
// into the same error.
func WriteAnswer(writer http.ResponseWriter, value any, err error) {
	status := http.StatusOK
	var conflict *ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		status, value = http.StatusConflict, conflict
	case errors.Is(err, ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, ErrRejected):
		status = http.StatusBadRequest
	case errors.Is(err, ErrUnavailable):
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusInternalServerError
	}
	if status != http.StatusOK && conflict == nil {
		http.Error(writer, err.Error(), status)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // fails only if the caller has disconnected
}
