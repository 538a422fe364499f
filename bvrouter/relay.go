package bvrouter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhistory"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvresponse"
)

// relayTimeout bounds a call through another host. The other host's own call
// to the store is bounded by storeTimeout.
const relayTimeout = storeTimeout + 100*bvclock.Millisecond

// relayHandler lets other hosts reach the platform through this host: the store may reject
// some hosts and serve others.
func (router *Router) relayHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /table/", bvplatform.NewHandler(router.store.direct()))
	mux.HandleFunc("GET /endpoints", router.relayEndpoints)
	mux.HandleFunc("GET /endpoints/all", router.relayEndpointList)
	mux.HandleFunc("GET /hosts", router.relayHosts)
	mux.HandleFunc("GET /routes", router.relayRoutes)
	mux.HandleFunc("GET /conversations/{turn}", router.relayConversation)
	return mux
}

// relayConversation serves the cached part of a conversation to another host.
func (router *Router) relayConversation(writer http.ResponseWriter, request *http.Request) {
	chain := router.histories.CachedChain(request.PathValue("turn"))
	if chain == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = writer.Write(chain.Encode()) // on an error the other host times out
}

const (
	// conversationTimeout bounds the wait for another host's conversation; after it, the
	// store is queried.
	conversationTimeout = 25 * bvclock.Millisecond
	// maxConversationHosts is the maximum number of hosts with turns of a program that are
	// queried before the store.
	maxConversationHosts = 4
	// maxRelayBytes bounds any answer of another host.
	maxRelayBytes = 32 << 20
	// maxConversationBytes bounds the bytes read of a conversation.
	maxConversationBytes = 4 << 20
)

// peers requests conversations from other hosts.
type peers struct{ *Router }

// Chain implements bvhistory.Peers.
func (peers peers) Chain(ctx context.Context, program, turn string) bvhistory.Chain {
	if peers.settings.Disabled.Has(bvmechanism.Conversations) {
		return nil
	}
	hosts := peers.gossip.NearestReachable(peers.budgets.Holders(program))
	if peers.store.hasRoute() { // otherwise there is no other source
		hosts = hosts[:min(len(hosts), maxConversationHosts)]
	}
	for _, host := range hosts {
		chain, err := fetchConversation(ctx, host, turn)
		if err == nil && chain != nil {
			peers.counters.Add("conversations_from_hosts", 1)
			return chain
		}
		if err != nil {
			peers.log.WithError(err).Debug("conversation not read from another host")
		}
	}
	return nil
}

var hostClient = &http.Client{Transport: bvresponse.NewDefaultTransport()}

// get sends a request to another host; the caller closes the answer's body.
func get(ctx context.Context, address, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	response, err := hostClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxRelayBytes)
	return response, nil
}

// fetchConversation returns another host's cached conversation, or nil if it has none.
func fetchConversation(ctx context.Context, address, turn string) (bvhistory.Chain, error) {
	ctx, cancel := context.WithTimeout(ctx, conversationTimeout.Std())
	defer cancel()
	response, err := get(ctx, address, "/conversations/"+url.PathEscape(turn))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, nil
	default:
		return nil, fmt.Errorf("relay: status %d", response.StatusCode)
	}
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxConversationBytes))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return bvhistory.DecodeChain(encoded)
}
