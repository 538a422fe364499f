package bvcaller

import (
	"net/http"

	"balsamvalve.example/bvanswer"
	"balsamvalve.example/bvpeer"
)

func (api *API) service(writer http.ResponseWriter, request *http.Request, member string) {
	body, err := readBody(request)
	if err != nil {
		api.fail(writer, request, err)
		return
	}
	call, single, err := callOf(request, member, body)
	if err != nil {
		api.fail(writer, request, err)
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
		api.fail(writer, request, err)
		return
	}
	if single {
		defer api.endSingle(request.Context(), call)
	}
	finished, err := api.run(request.Context(), call)
	if err != nil {
		api.fail(writer, request, err)
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

func (api *API) writeService(writer http.ResponseWriter, request *http.Request, kept []byte) {
	answer, err := bvanswer.DecodeService(kept)
	if err != nil {
		api.fail(writer, request, err)
		return
	}
	api.measure.CountAnswer()
	if answer.ContentType != "" {
		writer.Header().Set("Content-Type", answer.ContentType)
	}
	writer.WriteHeader(answer.Status)
	_, _ = writer.Write(answer.Body)
}
