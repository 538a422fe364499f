package bvcaller

import (
	"encoding/json"
	"net/http"
)

// handleEndProgram ends a program: no call of it runs afterwards, and its cached
// prefixes in engines are released. Ending a program twice is not an error.
func (api *API) handleEndProgram(writer http.ResponseWriter, request *http.Request, member string) {
	if err := api.entry.EndProgram(request.Context(), member, request.PathValue("program")); err != nil {
		api.writeError(writer, request, err)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// handleFetch returns the persisted answer of a request, in the format of an answer
// without streaming.
func (api *API) handleFetch(writer http.ResponseWriter, request *http.Request, member string) {
	id := request.PathValue("request")
	persisted, err := api.entry.Fetch(request.Context(), member, request.PathValue("program"), id)
	if err != nil {
		api.writeError(writer, request, err)
		return
	}
	var answer struct {
		Status int `json:"status"`
	}
	if err := json.Unmarshal(persisted, &answer); err != nil {
		api.writeError(writer, request, err)
		return
	}
	if answer.Status != 0 {
		api.writeService(writer, request, persisted)
		return
	}
	api.writeModel(writer, request, id, persisted)
}
