package bvcaller

import (
	"encoding/json"
	"net/http"
)

// endProgram ends a program: nothing of it runs any more, and what engines
// hold for it is released. Ending it twice is no error.
func (api *API) endProgram(writer http.ResponseWriter, request *http.Request, member string) {
	if err := api.entry.EndProgram(request.Context(), member, request.PathValue("program")); err != nil {
		api.fail(writer, request, err)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// fetch returns the kept answer of a request, in the form in which the request
// would have been answered without streaming.
func (api *API) fetch(writer http.ResponseWriter, request *http.Request, member string) {
	id := request.PathValue("request")
	kept, err := api.entry.Fetch(request.Context(), member, request.PathValue("program"), id)
	if err != nil {
		api.fail(writer, request, err)
		return
	}
	var kind struct {
		Status int `json:"status"`
	}
	if err := json.Unmarshal(kept, &kind); err != nil {
		api.fail(writer, request, err)
		return
	}
	if kind.Status != 0 {
		api.writeService(writer, request, kept)
		return
	}
	api.writeModel(writer, request, id, kept)
}
