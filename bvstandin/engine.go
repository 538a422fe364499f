package bvstandin

import (
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvmodel"
	"balsamvalve.example/bvplatform"
)

// PoisonMarker in the body of a request crashes the engine that starts the request.
const PoisonMarker = "bv-poison"

// Defaults of EngineConfig.
const (
	defaultOutputTokens = 32
	defaultGrace        = 10 * bvclock.Second
)

// EngineConfig configures an engine. A zero field means its default.
type EngineConfig struct {
	Name         string
	Model        string // served model; empty: any
	Zone         string
	Batch        bvmodel.Config
	Instant      bool             // answers immediately, without simulating batching
	OutputTokens int              // of an answer without a requested length; 32
	Vary         bool             // each run returns a different text, like a model that samples
	MaxWaiting   int              // waiting calls from which new calls are refused; 0: unbounded
	Fencing      bool             // refuses orders with an outdated fencing number
	Grace        bvclock.Duration // how long a stream without a reader is retained; 10 s
	LoadLag      bvclock.Duration // age of the reports of GET /load
	EventLag     bvclock.Duration // delay until an event appears in GET /events
	EventGap     int              // every n-th cache event is never published; 0: none
	OnCrash      func()           // called at a crash; if it returns, the engine restarts inside the process
}

// EngineFaults are the faults that an Engine simulates; the zero value is none.
type EngineFaults struct {
	Refuse      bool    `json:"refuse"`       // answers 503 to new calls and doesn't run them
	Silent      bool    `json:"silent"`       // connections in use now become permanently silent
	SilentAfter int     `json:"silent_after"` // tokens after which the first connection of each stream becomes silent; 0: never
	Slow        float64 `json:"slow"`         // factor by which the engine is slower; under 1: 1
	Crash       bool    `json:"crash"`        // crash immediately
	RestartMS   int64   `json:"restart_ms"`   // how long a crashed engine aborts all requests
}

// EngineStats are the counters of an Engine.
type EngineStats struct {
	Calls         int    `json:"calls"` // accepted
	Refused       int    `json:"refused"`
	Canceled      int    `json:"canceled"`
	Resumed       int    `json:"resumed"`
	Crashes       int    `json:"crashes"`
	Incarnation   string `json:"incarnation"`
	LastNewCallMS int64  `json:"last_new_ms"` // time from Leave to the last new call
	LeavingForMS  int64  `json:"leaving_for_ms"`
}

// Engine is a stand-in of a model engine: a bvmodel.Engine that runs in real time behind
// the OpenAI API. Create one with NewEngine.
type Engine struct {
	config EngineConfig
	clock  bvclock.Clock
	mux    *http.ServeMux

	mutex             sync.Mutex
	incarnation       string
	model             *bvmodel.Engine
	time              modelTime
	loopRunning       bool // runModel is running
	wake              chan struct{}
	lastCall          bvmodel.CallID
	calls             map[bvmodel.CallID]*stream // in flight
	streams           map[string]*stream         // by id, retained after their end
	cachedMessages    map[cacheKey][]promptMessage
	faults            EngineFaults
	downUntil         bvclock.Time
	connections       map[string]int // requests in flight, by remote address
	silentConnections map[string]bool
	leavingAt         bvclock.Time
	stats             EngineStats
	load              laggedList[loadReport]
	events            eventLog
	order             order
}

// NewEngine returns an idle engine.
func NewEngine(config EngineConfig) *Engine {
	engine := &Engine{
		config:            config,
		clock:             bvclock.Boot(),
		wake:              make(chan struct{}, 1),
		connections:       make(map[string]int),
		silentConnections: make(map[string]bool),
	}
	engine.load.retention = config.LoadLag.Std() + time.Second
	engine.events.gap = config.EventGap
	engine.reset()
	engine.routes()
	return engine
}

// reset clears the engine's state and gives it a new incarnation.
func (engine *Engine) reset() {
	engine.incarnation = rand.Text()
	engine.model = bvmodel.New(engine.config.Batch)
	engine.time = modelTime{real: engine.clock.Now()}
	engine.calls = make(map[bvmodel.CallID]*stream)
	engine.streams = make(map[string]*stream)
	engine.cachedMessages = make(map[cacheKey][]promptMessage)
	engine.order = order{}
}

func (engine *Engine) routes() {
	engine.mux = http.NewServeMux()
	engine.mux.HandleFunc("POST /v1/chat/completions", engine.chat)
	engine.mux.HandleFunc("GET /v1/streams/{id}", engine.resume)
	engine.mux.HandleFunc("DELETE /v1/streams/{id}", engine.cancel)
	engine.mux.HandleFunc("POST /cache/release", engine.release)
	engine.mux.HandleFunc("GET /cache", engine.listCache)
	engine.mux.HandleFunc("GET /load", engine.serveLoad)
	engine.mux.HandleFunc("GET /events", engine.serveEvents)
	engine.mux.HandleFunc("POST /orders", engine.handleOrder)
	engine.mux.HandleFunc("GET /orders", engine.serveOrder)
}

// ServeHTTP implements http.Handler.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.Method + " " + request.URL.Path {
	case "POST /faults":
		engine.serveFaults(writer, request)
		return
	case "GET /stats":
		writeJSON(writer, http.StatusOK, engine.Stats())
		return
	}
	incarnation, restarting := engine.beginRequest(request.RemoteAddr)
	defer engine.endRequest(request.RemoteAddr)
	if restarting {
		panic(http.ErrAbortHandler)
	}
	if engine.isSilent(request.RemoteAddr) {
		<-request.Context().Done()
		return
	}
	writer.Header().Set(bvendpoint.HeaderIncarnation, incarnation)
	engine.mux.ServeHTTP(writer, request)
}

// beginRequest counts a request on its connection. It returns the incarnation and whether
// the engine is restarting.
func (engine *Engine) beginRequest(remote string) (incarnation string, restarting bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.connections[remote]++
	return engine.incarnation, engine.clock.Now().Before(engine.downUntil)
}

func (engine *Engine) endRequest(remote string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.connections[remote]--
	if engine.connections[remote] > 0 {
		return
	}
	delete(engine.connections, remote)
	// A later connection can reuse the port.
	delete(engine.silentConnections, remote)
}

func (engine *Engine) isSilent(remote string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.silentConnections[remote]
}

// Endpoint returns the engine's entry for the platform's list.
func (engine *Engine) Endpoint(address string) bvplatform.Endpoint {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	batch := engine.model.Config()
	state := bvplatform.HostLive
	if engine.leavingAt > 0 {
		state = bvplatform.HostLeaving
	}
	return bvplatform.Endpoint{
		Name:        engine.config.Name,
		Kind:        bvplatform.Engine,
		Serves:      engine.config.Model,
		Address:     address,
		Zone:        engine.config.Zone,
		Incarnation: engine.incarnation,
		State:       state,
		Slots:       batch.Slots,
		CacheTokens: batch.CacheTokens,
		Fencing:     engine.config.Fencing,
	}
}

// Leave marks the engine as leaving. It continues to serve requests.
func (engine *Engine) Leave() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.leavingAt == 0 {
		engine.leavingAt = engine.clock.Now()
	}
}

// IsIdle reports whether no call or other request is in flight.
func (engine *Engine) IsIdle() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return len(engine.calls) == 0 && len(engine.connections) == 0
}

// Stats returns the current counters.
func (engine *Engine) Stats() EngineStats {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	stats := engine.stats
	stats.Incarnation = engine.incarnation
	if engine.leavingAt > 0 {
		stats.LeavingForMS = int64(engine.clock.Now().Sub(engine.leavingAt))
	}
	return stats
}
