package bvrouter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// relayTimeout bounds a call through another host. The other host's own call
// to the store is bounded by storePatience.
const relayTimeout = storePatience + 100*bvclock.Millisecond

// relayHandler lets other hosts use this host's way to the platform: its store
// may turn some hosts away and serve the others.
func (router *Router) relayHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /table/", bvplatform.NewHandler(router.reach.direct()))
	mux.HandleFunc("GET /endpoints", router.relayEndpoints)
	mux.HandleFunc("GET /routes", router.relayRoutes)
	return mux
}

// relayEndpoints gives the list that this host goes by.
func (router *Router) relayEndpoints(writer http.ResponseWriter, _ *http.Request) {
	if !router.reach.up() {
		bvplatform.WriteAnswer(writer, nil, bvplatform.ErrUnavailable)
		return
	}
	endpoints := router.state.endpoints()
	bvplatform.WriteAnswer(writer, struct{ Endpoints []bvplatform.Endpoint }{endpoints}, nil)
}

// relayRoutes gives the desired state that is in force here.
func (router *Router) relayRoutes(writer http.ResponseWriter, _ *http.Request) {
	table := router.state.Current()
	if table == nil || !router.reach.up() {
		bvplatform.WriteAnswer(writer, nil, bvplatform.ErrUnavailable)
		return
	}
	bvplatform.WriteAnswer(writer, table.Rows(), nil)
}

// fetchRoutes reads the desired state from another host.
func fetchRoutes(ctx context.Context, address string) (*bvroute.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout.Std())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/routes", nil)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("relay: status %d", response.StatusCode)
	}
	var rows bvroute.Rows
	if err := json.NewDecoder(response.Body).Decode(&rows); err != nil {
		return nil, fmt.Errorf("relay: routes can't be read: %w", err)
	}
	return bvroute.NewTable(rows.Version, rows.Routes, rows.Services, rows.Limits)
}
