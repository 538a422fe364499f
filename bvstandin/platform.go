package bvstandin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"balsamvalve.example/bvplatform"
)

// hostTTL is the time after which a host that was not announced again expires.
const hostTTL = 3 * time.Second

// PlatformFaults are the faults that a Platform simulates; the zero value is none.
type PlatformFaults struct {
	Down        bool  `json:"down"`         // answers 503 to all calls and doesn't run them
	DelayMS     int64 `json:"delay_ms"`     // delay before each call runs
	LoseAnswers int   `json:"lose_answers"` // drops the answer of every n-th commit after it took effect; 0: none
	ListLagMS   int64 `json:"list_lag_ms"`  // lag of the lists of hosts and endpoints
	LateMS      int64 `json:"late_ms"`      // delay before each commit takes effect, even if its caller has disconnected
}

// Platform is a stand-in of the platform's service. The zero value is an
// empty platform without faults.
type Platform struct {
	memory    bvplatform.Memory
	hosts     laggedList[bvplatform.Host]
	endpoints laggedList[bvplatform.Endpoint]

	mutex       sync.Mutex
	faults      PlatformFaults
	commits     int
	lostAnswers int

	once sync.Once
	mux  *http.ServeMux
}

// Memory returns the storage behind the HTTP protocol.
func (platform *Platform) Memory() *bvplatform.Memory { return &platform.memory }

// SetFaults replaces the platform's faults.
func (platform *Platform) SetFaults(faults PlatformFaults) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.faults = faults
}

// Faults returns the current faults.
func (platform *Platform) Faults() PlatformFaults {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.faults
}

// ServeHTTP implements http.Handler.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	platform.once.Do(platform.routes)
	platform.mux.ServeHTTP(writer, request)
}

func (platform *Platform) routes() {
	platform.mux = http.NewServeMux()
	platform.mux.HandleFunc("POST /faults", platform.setFaults)
	platform.mux.HandleFunc("GET /counts", platform.serveCounts)
	platform.addRoute("POST /table/commit", platform.commit)
	store := bvplatform.NewHandler(&platform.memory)
	platform.addRoute("POST /table/read", store.ServeHTTP)
	platform.addRoute("POST /table/scan", store.ServeHTTP)
	platform.addRoute("PUT /objects/{name}", platform.putObject)
	platform.addRoute("GET /objects/{name}", platform.getObject)
	platform.addRoute("DELETE /objects/{name}", platform.deleteObject)
	platform.addRoute("GET /hosts", platform.listHosts)
	platform.addRoute("PUT /hosts/{name}", platform.putHost)
	platform.addRoute("DELETE /hosts/{name}", platform.removeHost)
	platform.addRoute("GET /endpoints", platform.listEndpoints)
	platform.addRoute("PUT /endpoints/{name}", platform.putEndpoint)
	platform.addRoute("DELETE /endpoints/{name}", platform.removeEndpoint)
}

// addRoute adds a route that is subject to the faults Down and DelayMS.
func (platform *Platform) addRoute(pattern string, handler http.HandlerFunc) {
	platform.mux.HandleFunc(pattern, func(writer http.ResponseWriter, request *http.Request) {
		faults := platform.Faults()
		if faults.Down {
			http.Error(writer, "platform is down", http.StatusServiceUnavailable)
			return
		}
		if !sleep(request.Context(), faults.DelayMS) {
			return
		}
		handler(writer, request)
	})
}

func (platform *Platform) setFaults(writer http.ResponseWriter, request *http.Request) {
	var faults PlatformFaults
	if !readJSON(writer, request, &faults) {
		return
	}
	platform.SetFaults(faults)
	writeJSON(writer, http.StatusOK, faults)
}

func (platform *Platform) serveCounts(writer http.ResponseWriter, _ *http.Request) {
	writes, reads := platform.memory.Counts()
	platform.mutex.Lock()
	lostAnswers := platform.lostAnswers
	platform.mutex.Unlock()
	writeJSON(writer, http.StatusOK, struct {
		Writes int64 `json:"writes"`
		Reads  int64 `json:"reads"`
		Lost   int   `json:"lost_answers"`
	}{writes, reads, lostAnswers})
}

func (platform *Platform) commit(writer http.ResponseWriter, request *http.Request) {
	var transaction bvplatform.Transaction
	if !readJSON(writer, request, &transaction) {
		return
	}
	// The delay doesn't end with the request: a late commit takes effect even if its
	// caller has timed out.
	sleep(context.WithoutCancel(request.Context()), platform.Faults().LateMS)
	version, err := platform.memory.Commit(request.Context(), transaction)
	if platform.shouldLoseAnswer() {
		panic(http.ErrAbortHandler)
	}
	bvplatform.WriteAnswer(writer, struct{ Version int64 }{version}, err)
}

func (platform *Platform) shouldLoseAnswer() bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.commits++
	if platform.faults.LoseAnswers == 0 || platform.commits%platform.faults.LoseAnswers != 0 {
		return false
	}
	platform.lostAnswers++
	return true
}

func (platform *Platform) putObject(writer http.ResponseWriter, request *http.Request) {
	content, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	err = platform.memory.PutObject(request.Context(), request.PathValue("name"), content)
	writeResult(writer, struct{}{}, err)
}

func (platform *Platform) getObject(writer http.ResponseWriter, request *http.Request) {
	content, err := platform.memory.Object(request.Context(), request.PathValue("name"))
	if errors.Is(err, bvplatform.ErrNotFound) {
		http.Error(writer, err.Error(), http.StatusNotFound)
		return
	}
	_, _ = writer.Write(content)
}

func (platform *Platform) deleteObject(writer http.ResponseWriter, request *http.Request) {
	err := platform.memory.DeleteObject(request.Context(), request.PathValue("name"))
	writeResult(writer, struct{}{}, err)
}

func (platform *Platform) listHosts(writer http.ResponseWriter, _ *http.Request) {
	hosts := platform.hosts.list(platform.listLag())
	writeJSON(writer, http.StatusOK, struct{ Hosts []bvplatform.Host }{hosts})
}

func (platform *Platform) putHost(writer http.ResponseWriter, request *http.Request) {
	var host bvplatform.Host
	if !readJSON(writer, request, &host) {
		return
	}
	platform.hosts.put(request.PathValue("name"), host, hostTTL)
	writeJSON(writer, http.StatusOK, struct{}{})
}

func (platform *Platform) removeHost(writer http.ResponseWriter, request *http.Request) {
	platform.hosts.remove(request.PathValue("name"))
	writeJSON(writer, http.StatusOK, struct{}{})
}

func (platform *Platform) listEndpoints(writer http.ResponseWriter, _ *http.Request) {
	endpoints := platform.endpoints.list(platform.listLag())
	writeJSON(writer, http.StatusOK, struct{ Endpoints []bvplatform.Endpoint }{endpoints})
}

func (platform *Platform) putEndpoint(writer http.ResponseWriter, request *http.Request) {
	var endpoint bvplatform.Endpoint
	if !readJSON(writer, request, &endpoint) {
		return
	}
	ttlMS, _ := strconv.ParseInt(request.URL.Query().Get("lapse_ms"), 10, 64)
	platform.endpoints.put(request.PathValue("name"), endpoint, time.Duration(ttlMS)*time.Millisecond)
	writeJSON(writer, http.StatusOK, struct{}{})
}

func (platform *Platform) removeEndpoint(writer http.ResponseWriter, request *http.Request) {
	platform.endpoints.remove(request.PathValue("name"))
	writeJSON(writer, http.StatusOK, struct{}{})
}

func (platform *Platform) listLag() time.Duration {
	return time.Duration(platform.Faults().ListLagMS) * time.Millisecond
}
