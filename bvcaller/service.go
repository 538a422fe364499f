package bvcaller

import (
	"net/http"

	"balsamvalve.example/bvanswer"
	"balsamvalve.example/bvpeer"
)

func (api *API) handleService(writer http.ResponseWriter, request *http.Request, member string) {
	body, err := readBody(request)
	if err != nil {
		api.writeError(writer, request, err)
		return
	}
	call, single, err := readCall(request, member, body)
	if err != nil {
		api.writeError(writer, request, err)
		return
	}
	call.Target = &bvpeer.Call_Service{Service: &bvpeer.ServiceCall{
		Service:     request.PathValue("service"),
		Method:      request.Method,
		Path:        servicePath(request),
		Body:        body,
		ContentType: request.Header.Get("Content-Type"),
	}}
	if err := api.policy.Admit(member, call.GetClass(), call); err != nil {
		api.writeError(writer, request, err)
		return
	}
	if single {
		defer api.endSingleCall(request.Context(), call)
	}
	finished, err := api.runCall(request.Context(), call)
	if err != nil {
		api.writeError(writer, request, err)
		return
	}
	api.writeService(writer, request, finished.GetAnswer())
}

func servicePath(request *http.Request) string {
	path := "/" + request.PathValue("path")
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return path
}

func (api *API) writeService(writer http.ResponseWriter, request *http.Request, persisted []byte) {
	answer, err := bvanswer.DecodeService(persisted)
	if err != nil {
		api.writeError(writer, request, err)
		return
	}
	api.measure.CountAnswer()
	if answer.ContentType != "" {
		writer.Header().Set("Content-Type", answer.ContentType)
	}
	writer.WriteHeader(answer.Status)
	_, _ = writer.Write(answer.Body)
}
