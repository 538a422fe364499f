package bvrouter

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
)

// errNoSource means that no other host gave what was asked.
var errNoSource = errors.New("router: no other host has it")

// sharedHosts is the list of hosts as this host last had it.
type sharedHosts struct {
	hosts []listedHost
	asOf  bvclock.Time // 0: a part of the list only
}

// sources returns the hosts that may be asked in place of the store.
func (router *Router) sources() sources {
	known := sources{self: router.settings.PeerAddress, zone: router.settings.Zone, lost: router.gossip.Lost}
	if shared := router.hosts.Load(); shared != nil && !router.settings.Without.Has(bvmechanism.Readers) {
		known.hosts = shared.hosts
	}
	return known
}

// shareHosts takes over a list of hosts, whole or in part, for this host's own questions
// and for those of others.
func (router *Router) shareHosts(hosts []listedHost, asOf bvclock.Time) {
	router.hosts.Store(&sharedHosts{hosts, asOf})
	if asOf != 0 {
		router.hostsAsOf, router.hostsFailed = asOf, 0
		router.hostsKnown.Store(true)
	}
}

// hostsOf returns the list of hosts from the first of some that has it whole.
func (router *Router) hostsOf(ctx context.Context, addresses []string) ([]listedHost, bvclock.Time, error) {
	err := errNoSource
	for _, address := range addresses {
		asked := router.clock.Now()
		var answer struct {
			Age   bvclock.Duration
			Hosts []listedHost
		}
		if err = fetch(ctx, address, "/hosts", sourceTimeout, &answer); err == nil {
			router.counters.Count("lists_from_hosts", "hosts")
			return answer.Hosts, asked.Add(-answer.Age), nil
		}
	}
	router.hostsFailed++
	return nil, 0, err
}

// mostHostsAge is the age from which a list of hosts is not handed on.
const mostHostsAge = 2 * hostsInterval

// relayHosts gives the list of hosts to another host. Nobody asks in a small fleet, so
// that a short list here is an old one.
func (router *Router) relayHosts(writer http.ResponseWriter, _ *http.Request) {
	shared := router.hosts.Load()
	if shared == nil || shared.asOf == 0 || len(shared.hosts) <= directHosts || router.clock.Now().Sub(shared.asOf) > mostHostsAge {
		bvplatform.WriteAnswer(writer, nil, bvplatform.ErrUnavailable)
		return
	}
	writeCompressed(writer, struct {
		Age   bvclock.Duration
		Hosts []listedHost
	}{router.clock.Now().Sub(shared.asOf), shared.hosts})
}

// writeCompressed answers another host with a large value.
func writeCompressed(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Encoding", "gzip")
	writer.Header().Set("Content-Type", "application/json")
	compressed, _ := gzip.NewWriterLevel(writer, gzip.BestSpeed) // the level is valid
	_ = json.NewEncoder(compressed).Encode(value)                // the other host gives up by itself
	_ = compressed.Close()
}

// fetch reads an answer of another host.
func fetch(ctx context.Context, address, path string, limit bvclock.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, limit.Std())
	defer cancel()
	response, err := get(ctx, address, path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body) // keeps the connection
		return fmt.Errorf("relay: status %d", response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("relay: %s can't be read: %w", path, err)
	}
	return nil
}
