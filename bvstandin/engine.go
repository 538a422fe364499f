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

// PoisonMarker in the body of a request crashes the engine that starts it.
const PoisonMarker = "bv-poison"

// Values that a zero EngineConfig stands for.
const (
	defaultOutputTokens = 32
	defaultGrace        = 10 * bvclock.Second
)

// EngineConfig describes an engine. A zero field stands for its default.
type EngineConfig struct {
	Name         string
	Model        string // that it serves; empty: any
	Zone         string
	Batch        bvmodel.Config
	Instant      bool             // answers at once, without the model of batching
	OutputTokens int              // of an answer whose length the caller doesn't set; 32
	Vary         bool             // each run writes another text, as a model that samples does
	MaxWaiting   int              // calls without a slot before it refuses; 0: unbounded
	Fencing      bool             // refuses orders with an old fencing number
	Grace        bvclock.Duration // how long a stream is kept without a reader; 10 s
	LoadLag      bvclock.Duration // of GET /load
	EventLag     bvclock.Duration // of GET /events
	EventGap     int              // every n-th cache event is never published; 0: none
	OnCrash      func()           // instead of a restart inside the process
}

// EngineFaults are the faults that an Engine shows; the zero value is none.
type EngineFaults struct {
	Refuse      bool    `json:"refuse"`       // answers 503 to new calls and doesn't run them
	Silent      bool    `json:"silent"`       // connections that are open now go quiet for good
	SilentAfter int     `json:"silent_after"` // the first connection of each new stream goes quiet after so many tokens
	Slow        float64 `json:"slow"`         // divides the speed; 0: 1
	Crash       bool    `json:"crash"`        // crashes now
	RestartMS   int64   `json:"restart_ms"`   // how long a crashed engine answers nothing
}

// EngineStats counts what an Engine did.
type EngineStats struct {
	Calls        int    `json:"calls"` // that it accepted
	Refused      int    `json:"refused"`
	Canceled     int    `json:"canceled"`
	Resumed      int    `json:"resumed"`
	Crashes      int    `json:"crashes"`
	Incarnation  string `json:"incarnation"`
	LastNewMS    int64  `json:"last_new_ms"` // how long after it began to leave the last new call came
	LeavingSince int64  `json:"leaving_for_ms"`
}

// Engine is a stand-in of a model engine: a bvmodel.Engine in real time behind
// the OpenAI API. Make one with NewEngine.
type Engine struct {
	config EngineConfig
	clock  bvclock.Clock
	mux    *http.ServeMux

	mutex       sync.Mutex
	incarnation string
	model       *bvmodel.Engine
	time        modelTime
	running     bool // the loop runs
	wake        chan struct{}
	lastCall    bvmodel.CallID
	calls       map[bvmodel.CallID]*stream // under way
	streams     map[string]*stream         // by id, kept for a while after their end
	held        map[cacheKey][]promptMessage
	faults      EngineFaults
	downUntil   bvclock.Time
	connections map[string]int // requests under way, by remote address
	silent      map[string]bool
	leavingAt   bvclock.Time
	stats       EngineStats
	load        lagged[loadReport]
	events      eventLog
	order       order
}

// NewEngine returns an idle engine.
func NewEngine(config EngineConfig) *Engine {
	engine := &Engine{
		config:      config,
		clock:       bvclock.Boot(),
		wake:        make(chan struct{}, 1),
		connections: make(map[string]int),
		silent:      make(map[string]bool),
	}
	engine.load.keep = config.LoadLag.Std() + time.Second
	engine.events.gap = config.EventGap
	engine.reset()
	engine.routes()
	return engine
}

// reset gives the engine an empty memory and a new incarnation.
func (engine *Engine) reset() {
	engine.incarnation = rand.Text()
	engine.model = bvmodel.New(engine.config.Batch)
	engine.time = modelTime{real: engine.clock.Now()}
	engine.calls = make(map[bvmodel.CallID]*stream)
	engine.streams = make(map[string]*stream)
	engine.held = make(map[cacheKey][]promptMessage)
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
	engine.mux.HandleFunc("POST /orders", engine.takeOrder)
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
	incarnation, dead := engine.enter(request.RemoteAddr)
	defer engine.leave(request.RemoteAddr)
	if dead {
		panic(http.ErrAbortHandler)
	}
	if engine.isSilent(request.RemoteAddr) {
		<-request.Context().Done()
		return
	}
	writer.Header().Set(bvendpoint.HeaderIncarnation, incarnation)
	engine.mux.ServeHTTP(writer, request)
}

// enter notes the connection and tells whether the engine is restarting.
func (engine *Engine) enter(remote string) (incarnation string, dead bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.connections[remote]++
	return engine.incarnation, engine.clock.Now().Before(engine.downUntil)
}

func (engine *Engine) leave(remote string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.connections[remote]--
	if engine.connections[remote] > 0 {
		return
	}
	delete(engine.connections, remote)
	// The number of the port comes back with another connection some time.
	delete(engine.silent, remote)
}

func (engine *Engine) isSilent(remote string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.silent[remote]
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

// Leave marks the engine as leaving. It goes on serving.
func (engine *Engine) Leave() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.leavingAt == 0 {
		engine.leavingAt = engine.clock.Now()
	}
}

// Idle reports whether no call is under way.
func (engine *Engine) Idle() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return len(engine.calls) == 0 && len(engine.connections) == 0
}

// Stats returns the counts so far.
func (engine *Engine) Stats() EngineStats {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	stats := engine.stats
	stats.Incarnation = engine.incarnation
	if engine.leavingAt > 0 {
		stats.LeavingSince = int64(engine.clock.Now().Sub(engine.leavingAt))
	}
	return stats
}
