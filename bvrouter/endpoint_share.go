package bvrouter

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// A full list is sent to another host as a stream of JSON values, a head and then each
// endpoint, so that neither host holds the encoded list in memory.

// listHead precedes the endpoints of a full list.
type listHead struct {
	Age   bvclock.Duration
	Next  int64 // platform's change sequence number
	Count int   // endpoints that follow
}

// relayEndpoints serves changes of the list of endpoints to another host.
func (router *Router) relayEndpoints(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		bvplatform.WriteAnswer(writer, nil, bvplatform.ErrRejected)
		return
	}
	age := router.endpointsAge() // before the changes are read: they may only be newer
	router.endpointsMutex.Lock()
	changes, known := router.endpoints.since(after)
	router.endpointsMutex.Unlock()
	if !known || age > shareOf(router.settings.DrainBound, maxRelayedAgeShare) {
		bvplatform.WriteAnswer(writer, nil, bvplatform.ErrUnavailable)
		return
	}
	bvplatform.WriteAnswer(writer, struct {
		Age     bvclock.Duration
		Changes bvplatform.EndpointChanges
	}{age, changes}, nil)
}

// relayEndpointList serves the full list to other hosts, to a few at a time.
func (router *Router) relayEndpointList(writer http.ResponseWriter, _ *http.Request) {
	defer router.listCopies.Add(-1)
	if router.listCopies.Add(1) > maxListCopies {
		bvplatform.WriteAnswer(writer, nil, bvplatform.ErrUnavailable)
		return
	}
	age := router.endpointsAge() // before the list is read: it may only be newer
	router.endpointsMutex.Lock()
	complete, next := router.endpoints.isComplete(), router.endpoints.next
	var endpoints []bvplatform.Endpoint
	if complete {
		endpoints = slices.Collect(maps.Values(router.endpoints.listed))
	}
	router.endpointsMutex.Unlock()
	if !complete || age > shareOf(router.settings.DrainBound, maxRelayedAgeShare) {
		bvplatform.WriteAnswer(writer, nil, bvplatform.ErrUnavailable)
		return
	}
	writer.Header().Set("Content-Encoding", "gzip")
	compressed, _ := gzip.NewWriterLevel(writer, gzip.BestSpeed) // the level is valid
	encoder := json.NewEncoder(compressed)
	err := encoder.Encode(listHead{age, next, len(endpoints)})
	for _, endpoint := range endpoints {
		err = errors.Join(err, encoder.Encode(endpoint))
		if err != nil {
			return // the other host has timed out, or detects the truncated list
		}
	}
	_ = compressed.Close()
}

// fetchEndpointList reads another host's full list, and its age.
func fetchEndpointList(ctx context.Context, address string) (bvclock.Duration, bvplatform.EndpointChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, fullListTimeout.Std())
	defer cancel()
	response, err := get(ctx, address, "/endpoints/all")
	if err != nil {
		return 0, bvplatform.EndpointChanges{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body) // keeps the connection reusable
		return 0, bvplatform.EndpointChanges{}, fmt.Errorf("relay: status %d", response.StatusCode)
	}
	return decodeEndpointList(response.Body)
}

func decodeEndpointList(body io.Reader) (bvclock.Duration, bvplatform.EndpointChanges, error) {
	decoder := json.NewDecoder(body)
	var head listHead
	if err := decoder.Decode(&head); err != nil {
		return 0, bvplatform.EndpointChanges{}, fmt.Errorf("relay: list of endpoints can't be read: %w", err)
	}
	changes := bvplatform.EndpointChanges{Whole: true, Next: head.Next}
	for range head.Count {
		var endpoint bvplatform.Endpoint
		if err := decoder.Decode(&endpoint); err != nil {
			return 0, bvplatform.EndpointChanges{}, fmt.Errorf("relay: list of endpoints is cut short: %w", err)
		}
		changes.Listed = append(changes.Listed, endpoint)
	}
	return head.Age, changes, nil
}
