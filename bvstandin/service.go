package bvstandin

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvplatform"
)

// RequestHeader is the header with the id that the caller gave a request to a service.
const RequestHeader = "Bv-Request"

// serviceSlots is the number of concurrent calls that a service announces.
const serviceSlots = 64

// ServiceFaults are the faults that a Service simulates; the zero value is none.
type ServiceFaults struct {
	DelayMS    int64 `json:"delay_ms"`    // delay before each call runs
	Hang       bool  `json:"hang"`        // calls run but are never answered
	FailBefore bool  `json:"fail_before"` // calls answer 503 and don't run
	FailAfter  bool  `json:"fail_after"`  // calls run, then their connection is aborted
}

// ServiceAnswer is the answer of a Service.
type ServiceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Request string `json:"request"`
	Digest  string `json:"digest"` // of the body
	Run     int    `json:"run"`    // number of runs of the request, including this one
}

// Service is a stand-in of a plain service. The zero value is ready to use.
type Service struct {
	Name    string // name of the endpoint
	Serves  string // name of the service
	Zone    string
	Fencing bool

	mutex       sync.Mutex
	incarnation string
	leaving     bool
	calls       int // in flight
	faults      ServiceFaults
	runs        map[string]int
	total       int
}

// Endpoint returns the service's entry for the platform's list.
func (service *Service) Endpoint(address string) bvplatform.Endpoint {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.incarnation == "" {
		service.incarnation = rand.Text()
	}
	state := bvplatform.HostLive
	if service.leaving {
		state = bvplatform.HostLeaving
	}
	return bvplatform.Endpoint{
		Name:        service.Name,
		Kind:        bvplatform.Service,
		Serves:      service.Serves,
		Address:     address,
		Zone:        service.Zone,
		Incarnation: service.incarnation,
		State:       state,
		Slots:       serviceSlots,
		Fencing:     service.Fencing,
	}
}

// Leave marks the service as leaving. It continues to serve requests.
func (service *Service) Leave() {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.leaving = true
}

// IsIdle reports whether no call is in flight.
func (service *Service) IsIdle() bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.calls == 0
}

// SetFaults replaces the service's faults.
func (service *Service) SetFaults(faults ServiceFaults) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.faults = faults
}

// Runs returns the number of runs of the request.
func (service *Service) Runs(request string) int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.runs[request]
}

// ServeHTTP implements http.Handler.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.Method + " " + request.URL.Path {
	case "GET /runs":
		service.serveRuns(writer, request)
	case "POST /faults":
		service.serveFaults(writer, request)
	default:
		service.call(writer, request)
	}
}

func (service *Service) serveRuns(writer http.ResponseWriter, request *http.Request) {
	id := request.URL.Query().Get("request")
	service.mutex.Lock()
	total := service.total
	service.mutex.Unlock()
	writeJSON(writer, http.StatusOK, struct {
		Runs  int `json:"runs"`
		Total int `json:"total"`
	}{service.Runs(id), total})
}

func (service *Service) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var faults ServiceFaults
	if !readJSON(writer, request, &faults) {
		return
	}
	service.SetFaults(faults)
	writeJSON(writer, http.StatusOK, faults)
}

func (service *Service) call(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	faults := service.beginCall()
	defer service.endCall()
	if faults.FailBefore {
		writeError(writer, http.StatusServiceUnavailable, "overloaded", "not run", "service refuses calls")
		return
	}
	if !sleep(request.Context(), faults.DelayMS) {
		return
	}
	run := service.countRun(request.Header.Get(RequestHeader))
	if faults.Hang {
		<-request.Context().Done()
		return
	}
	if faults.FailAfter {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, ServiceAnswer{
		Service: service.Serves,
		Path:    strings.TrimPrefix(request.URL.Path, "/"),
		Request: request.Header.Get(RequestHeader),
		Digest:  BodyDigest(body),
		Run:     run,
	})
}

func (service *Service) beginCall() ServiceFaults {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.calls++
	return service.faults
}

func (service *Service) endCall() {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.calls--
}

func (service *Service) countRun(request string) int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.runs == nil {
		service.runs = make(map[string]int)
	}
	service.total++
	service.runs[request]++
	return service.runs[request]
}

// BodyDigest returns the digest of a body, as in ServiceAnswer.
func BodyDigest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// writeError writes an error in the format of the OpenAI API, with an added verdict.
func writeError(writer http.ResponseWriter, status int, code, verdict, message string) {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
			Code    string `json:"code"`
			Verdict string `json:"verdict"`
		} `json:"error"`
	}
	body.Error.Message = message
	body.Error.Type = "endpoint_error"
	body.Error.Code = code
	body.Error.Verdict = verdict
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(writer, message, status)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}
