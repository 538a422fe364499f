package bvstandin

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"

	"balsamvalve.example/bvclock"
)

// loadReport is an engine's answer to GET /load.
type loadReport struct {
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	Slots        int    `json:"slots"`
	CachedTokens int    `json:"cached_tokens"`
	CacheTokens  int    `json:"cache_tokens"`
	Incarnation  string `json:"incarnation"`
	AgeMS        int64  `json:"age_ms"` // minimum age of the report
}

// recordLoad records the current load, from which lagged reports are served. The caller
// holds the engine's mutex.
func (engine *Engine) recordLoad() {
	config := engine.model.Config()
	engine.load.put("", loadReport{
		Running:      engine.model.RunningCalls(),
		Waiting:      engine.model.WaitingCalls(),
		Slots:        config.Slots,
		CachedTokens: engine.model.CachedTokens(),
		CacheTokens:  config.CacheTokens,
		Incarnation:  engine.incarnation,
		AgeMS:        int64(engine.config.LoadLag),
	}, 0)
}

func (engine *Engine) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.config.LoadLag == 0 {
		engine.recordLoad()
	}
	reports := engine.load.list(engine.config.LoadLag.Std())
	if len(reports) == 0 {
		config := engine.model.Config()
		reports = []loadReport{{Slots: config.Slots, CacheTokens: config.CacheTokens, Incarnation: engine.incarnation}}
	}
	writeJSON(writer, http.StatusOK, reports[0])
}

func (engine *Engine) release(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Salt   string `json:"salt"`
		Prefix string `json:"prefix"`
	}
	if !readJSON(writer, request, &body) {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	key := cacheKey{body.Salt, body.Prefix}
	tokens := engine.model.CachedPrefixTokens(key.salt, key.prefix)
	now := engine.time.now(engine.clock.Now())
	engine.model.EndProgram(now, key.salt, key.prefix)
	engine.model.Release(now, key.salt, key.prefix)
	engine.dropPrefix(key, "released", tokens)
	writeJSON(writer, http.StatusOK, struct {
		Released int `json:"released"`
	}{tokens})
}

// CachedPrefix is the prefix that an engine has cached for one program.
type CachedPrefix struct {
	Salt   string `json:"salt"`
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
}

// Cache returns the cached prefixes of programs without a running call, sorted by salt
// and prefix.
func (engine *Engine) Cache() []CachedPrefix {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	cached := []CachedPrefix{}
	for key := range engine.cachedMessages {
		if tokens := engine.model.CachedPrefixTokens(key.salt, key.prefix); tokens > 0 {
			cached = append(cached, CachedPrefix{key.salt, key.prefix, tokens})
		}
	}
	slices.SortFunc(cached, func(a, b CachedPrefix) int {
		return cmp.Or(cmp.Compare(a.Salt, b.Salt), cmp.Compare(a.Prefix, b.Prefix))
	})
	return cached
}

func (engine *Engine) listCache(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, struct {
		Cached []CachedPrefix `json:"cached"`
	}{engine.Cache()})
}

// order is the role, model and adapter that an engine was ordered to serve.
type order struct {
	Fence   int64  `json:"fence"`
	Role    string `json:"role"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
}

// handleOrder applies an order. An engine with fencing refuses an order whose fencing
// number is lower than that of its current order; an engine without fencing applies it.
func (engine *Engine) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var order order
	if !readJSON(writer, request, &order) {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.config.Fencing && order.Fence < engine.order.Fence {
		writeError(writer, http.StatusConflict, "old_fence", "not run",
			"an order with number "+strconv.FormatInt(engine.order.Fence, 10)+" was seen")
		return
	}
	engine.order = order
	writeJSON(writer, http.StatusOK, order)
}

func (engine *Engine) serveOrder(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	writeJSON(writer, http.StatusOK, engine.order)
}

func (engine *Engine) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var faults EngineFaults
	if !readJSON(writer, request, &faults) {
		return
	}
	engine.SetFaults(faults)
	writeJSON(writer, http.StatusOK, faults)
}

// SetFaults replaces the engine's faults.
func (engine *Engine) SetFaults(faults EngineFaults) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.time.now(engine.clock.Now())
	engine.time.slowdown = faults.Slow
	engine.faults = faults
	if faults.Silent {
		engine.silenceConnections()
	}
	if faults.Crash {
		engine.crash()
	}
}

// silenceConnections makes the connections that are in use silent.
func (engine *Engine) silenceConnections() {
	for remote := range engine.connections {
		engine.silentConnections[remote] = true
	}
	for _, stream := range engine.calls {
		stream.notify()
	}
}

// cacheEvent is a published change of the cache.
type cacheEvent struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"`
	Salt     string `json:"salt"`
	Prefix   string `json:"prefix"`
	Tokens   int    `json:"tokens"`
	at       bvclock.Time
}

const maxEvents = 4096

// eventLog holds the most recent cache events.
type eventLog struct {
	gap      int
	sequence int64
	events   []cacheEvent
}

// publish appends a cache event to the log, or skips it if it falls into the configured
// gap. The caller holds the engine's mutex.
func (engine *Engine) publish(kind string, key cacheKey, tokens int) {
	log := &engine.events
	log.sequence++
	if log.gap > 0 && log.sequence%int64(log.gap) == 0 {
		return
	}
	if len(log.events) == maxEvents {
		log.events = slices.Clone(log.events[maxEvents/2:])
	}
	log.events = append(log.events, cacheEvent{log.sequence, kind, key.salt, key.prefix, tokens, engine.clock.Now()})
}

func (engine *Engine) serveEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	until := engine.clock.Now().Add(-engine.config.EventLag)
	published := []cacheEvent{}
	for _, event := range engine.events.events {
		if event.Sequence > after && !event.at.After(until) {
			published = append(published, event)
		}
	}
	writeJSON(writer, http.StatusOK, struct {
		Events []cacheEvent `json:"events"`
	}{published})
}
