package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Durations of the store's answers, as on the sheet of a small deployment.
const (
	readTime        = 4 * time.Millisecond
	transactionTime = 5 * time.Millisecond
	maxPageRows     = 500
	maxFeedWait     = 30 * time.Second
)

// row is a row of the store in its wire format.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	SchemaVer int64  `json:"schemaVer"`
	Removed   bool   `json:"removed,omitempty"`
}

// rowID identifies a row.
type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

func (row row) id() rowID { return rowID{row.Table, row.Part, row.Key} }

// store is a stand-in of the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	started time.Time
	address string

	mutex   sync.Mutex
	rows    map[rowID]row // removed rows stay, marked, for the feed
	version int64
	changed chan struct{} // closed at the next change
}

// startStore serves a store on a free port of an IP address.
func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	store := &store{started: time.Now(), address: listener.Addr().String(), rows: make(map[rowID]row), changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, store) }() // ends with the process
	return store, nil
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.Method + " " + request.URL.Path {
	case "POST /api/rows-tx":
		time.Sleep(transactionTime)
		store.transact(writer, request)
	case "GET /api/rows-get":
		time.Sleep(readTime)
		store.get(writer, request)
	case "GET /api/rows-feed":
		time.Sleep(readTime)
		store.feed(writer, request)
	case "GET /api/rows-parts":
		time.Sleep(readTime)
		store.parts(writer, request)
	default:
		http.NotFound(writer, request)
	}
}

// transact applies a transaction of a daemon.
func (store *store) transact(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Expected []row   `json:"expected"`
		Puts     []row   `json:"puts"`
		Remove   []rowID `json:"remove"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, put := range body.Puts {
		if put.Table == "op" || put.Table == "servers" {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, expected := range body.Expected {
		if store.versionOf(expected.id()) != expected.SchemaVer {
			store.writeConflict(writer, body.Expected)
			return
		}
	}
	store.version++
	for _, put := range body.Puts {
		store.rows[put.id()] = row{put.Table, put.Part, put.Key, put.Value, store.version, false}
	}
	for _, id := range body.Remove {
		if store.versionOf(id) != 0 {
			store.rows[id] = row{id.Table, id.Part, id.Key, nil, store.version, true}
		}
	}
	store.announce()
	store.write(writer, http.StatusOK, nil)
}

// versionOf returns the version of a row, or 0 if there is none. The caller holds the mutex.
func (store *store) versionOf(id rowID) int64 {
	if found := store.rows[id]; !found.Removed {
		return found.SchemaVer
	}
	return 0
}

func (store *store) writeConflict(writer http.ResponseWriter, expected []row) {
	current := []row{}
	for _, wanted := range expected {
		if found, exists := store.rows[wanted.id()]; exists && !found.Removed {
			current = append(current, found)
		}
	}
	store.write(writer, http.StatusPreconditionFailed, map[string]any{"rows": current})
}

// announce wakes the requests that wait for a change. The caller holds the mutex.
func (store *store) announce() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// write writes an answer with the store's newest version. The caller holds the mutex.
func (store *store) write(writer http.ResponseWriter, status int, fields map[string]any) {
	answer := map[string]any{"schemaVer": store.version, "nowMs": time.Since(store.started).Milliseconds()}
	for name, value := range fields {
		answer[name] = value
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(answer)
}

// get returns a range of rows in ascending order of their keys.
func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found := []row{}
	for id, row := range store.rows {
		if row.Removed || id.Table != query.Get("table") || id.Part != query.Get("part") || id.Key < query.Get("from") {
			continue
		}
		if to := query.Get("to"); to != "" && id.Key >= to {
			continue
		}
		found = append(found, row)
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(found) > limit
	store.write(writer, http.StatusOK, map[string]any{"rows": found[:min(limit, len(found))], "hasMore": hasMore})
}

// parts lists the parts of a table.
func (store *store) parts(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	defer store.mutex.Unlock()
	parts := []string{}
	for id, row := range store.rows {
		if id.Table == query.Get("table") && !row.Removed && id.Part > query.Get("after") && !slices.Contains(parts, id.Part) {
			parts = append(parts, id.Part)
		}
	}
	slices.Sort(parts)
	store.write(writer, http.StatusOK, map[string]any{"parts": parts, "hasMore": false})
}

// feed returns the rows of a table that have changed after a version, and waits for the first one.
func (store *store) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64) // missing: from the beginning
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	expired := time.After(min(time.Duration(waitMs)*time.Millisecond, maxFeedWait))
	for {
		store.mutex.Lock()
		changes := store.changesAfter(query.Get("table"), after)
		changed := store.changed
		if len(changes) > 0 {
			store.write(writer, http.StatusOK, map[string]any{"rows": changes})
			store.mutex.Unlock()
			return
		}
		store.mutex.Unlock()
		select {
		case <-changed:
		case <-expired:
			store.mutex.Lock()
			store.write(writer, http.StatusOK, map[string]any{"rows": store.changesAfter(query.Get("table"), after)})
			store.mutex.Unlock()
			return
		case <-request.Context().Done():
			return
		}
	}
}

// changesAfter returns the changed rows in the order of their changes. The caller holds the mutex.
func (store *store) changesAfter(table string, after int64) []row {
	changes := []row{}
	for id, row := range store.rows {
		if id.Table == table && row.SchemaVer > after {
			changes = append(changes, row)
		}
	}
	slices.SortFunc(changes, func(a, b row) int { return int(a.SchemaVer - b.SchemaVer) })
	return changes
}

// put writes a row as the operator or an engine does.
func (store *store) put(table, key string, value any) {
	encoded, _ := json.Marshal(value) // maps of plain values always encode
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version++
	store.rows[rowID{table, "", key}] = row{table, "", key, encoded, store.version, false}
	store.announce()
}

// remove removes a row as an engine does.
func (store *store) remove(table, key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version++
	store.rows[rowID{table, "", key}] = row{Table: table, Key: key, SchemaVer: store.version, Removed: true}
	store.announce()
}

// dump returns the live rows of a table, for the record.
func (store *store) dump(table string) map[string]string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	rows := make(map[string]string)
	for id, row := range store.rows {
		if id.Table == table && !row.Removed {
			rows[id.Key] = string(row.Value)
		}
	}
	return rows
}
