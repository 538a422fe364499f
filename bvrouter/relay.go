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
)

// relayTimeout bounds a call through another host. The other host's own call
// to the store is bounded by storeTimeout.
const relayTimeout = storeTimeout + 100*bvclock.Millisecond

// relayHandler lets other hosts use this host's way to the platform: its store
// may turn some hosts away and serve the others.
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

// relayConversation gives what this host has at hand of a conversation.
func (router *Router) relayConversation(writer http.ResponseWriter, request *http.Request) {
	chain := router.histories.CachedChain(request.PathValue("turn"))
	if chain == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = writer.Write(chain.Encode()) // the other host gives up by itself
}

const (
	// conversationTimeout bounds the wait for another host's conversation; the store is
	// asked after it.
	conversationTimeout = 25 * bvclock.Millisecond
	// maxConversationHosts is how many hosts that had turns of a program are asked
	// before the store.
	maxConversationHosts = 4
	// maxConversationBytes bounds what is read.
	maxConversationBytes = 4 << 20
)

// peers asks other hosts for conversations.
type peers struct{ *Router }

// Chain implements bvhistory.Peers.
func (peers peers) Chain(ctx context.Context, program, turn string) bvhistory.Chain {
	if peers.settings.Without.Has(bvmechanism.Conversations) {
		return nil
	}
	hosts := peers.gossip.NearestReachable(peers.budgets.Holders(program))
	if peers.store.hasRoute() { // else there is nobody else to ask
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

// get asks another host; the caller closes the answer's body.
func get(ctx context.Context, address, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return response, nil
}

// fetchConversation returns nil where the host does not have it.
func fetchConversation(ctx context.Context, address, turn string) (bvhistory.Chain, error) {
	ctx, cancel := context.WithTimeout(ctx, conversationTimeout.Std())
	defer cancel()
	response, err := get(ctx, address, "/conversations/"+url.PathEscape(turn))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return nil, nil
	}
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxConversationBytes))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return bvhistory.DecodeChain(encoded)
}
