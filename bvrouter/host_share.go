package bvrouter

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
)

// errNoSource means that no other host returned the requested list.
var errNoSource = errors.New("router: no other host has the list")

// sharedHosts is this host's latest list of hosts.
type sharedHosts struct {
	hosts []listedHost
	asOf  bvclock.Time // 0: partial list

	once       sync.Once
	compressed []byte // encoded for other hosts
}

// encoded returns the list as sent to other hosts. All hosts of a zone request it at once,
// and a compressor for each of them would need more memory than everything else.
func (shared *sharedHosts) encoded() []byte {
	shared.once.Do(func() {
		var buffer bytes.Buffer
		compressed, _ := gzip.NewWriterLevel(&buffer, gzip.BestSpeed) // the level is valid
		_ = json.NewEncoder(compressed).Encode(shared.hosts)          // writes to a buffer don't fail, and rows always encode
		_ = compressed.Close()
		shared.compressed = buffer.Bytes()
	})
	return shared.compressed
}

// ageHeader is the header with the age of a list of hosts in milliseconds.
const ageHeader = "Bv-Age-Ms"

// fleet returns the listed hosts, which may be queried instead of the store.
func (router *Router) fleet() fleet {
	fleet := fleet{self: router.settings.PeerAddress, zone: router.settings.Zone, isSilent: router.gossip.IsUnreachable}
	if shared := router.hosts.Load(); shared != nil && !router.settings.Disabled.Has(bvmechanism.Readers) {
		fleet.hosts = shared.hosts
	}
	return fleet
}

// setHosts stores a full or partial list of hosts, for this host's own requests and for
// those of others.
func (router *Router) setHosts(hosts []listedHost, asOf bvclock.Time) {
	router.hosts.Store(&sharedHosts{hosts: hosts, asOf: asOf})
	if asOf != 0 {
		router.hostsAsOf, router.hostsFailures = asOf, 0
		router.hostsKnown.Store(true)
	}
}

// fetchHostsFrom returns the list of hosts of the first of some hosts that has the full list.
func (router *Router) fetchHostsFrom(ctx context.Context, addresses []string) ([]listedHost, bvclock.Time, error) {
	err := errNoSource
	for _, address := range addresses {
		requestedAt := router.clock.Now()
		hosts, age, fetchErr := fetchHosts(ctx, address)
		if fetchErr == nil {
			router.counters.Count("lists_from_hosts", "hosts")
			return hosts, requestedAt.Add(-age), nil
		}
		err = fetchErr
	}
	router.hostsFailures++
	return nil, 0, err
}

// maxHostsAge is the age above which a list of hosts is not served to others.
const maxHostsAge = 2 * hostsInterval

// relayHosts serves the list of hosts to another host. In a small fleet hosts don't request
// it from each other, so if this host's list is short, it is outdated.
func (router *Router) relayHosts(writer http.ResponseWriter, _ *http.Request) {
	shared := router.hosts.Load()
	if shared == nil || shared.asOf == 0 || len(shared.hosts) <= maxDirectHosts || router.clock.Now().Sub(shared.asOf) > maxHostsAge {
		bvplatform.WriteAnswer(writer, nil, bvplatform.ErrUnavailable)
		return
	}
	age := router.clock.Now().Sub(shared.asOf)
	writer.Header().Set(ageHeader, strconv.FormatInt(int64(age), 10))
	writer.Header().Set("Content-Encoding", "gzip")
	_, _ = writer.Write(shared.encoded()) // on an error the other host times out
}

// fetchHosts reads another host's list of hosts, and its age.
func fetchHosts(ctx context.Context, address string) (hosts []listedHost, age bvclock.Duration, err error) {
	header, err := fetchJSON(ctx, address, "/hosts", sourceTimeout, &hosts)
	if err != nil {
		return nil, 0, err
	}
	millis, err := strconv.ParseInt(header.Get(ageHeader), 10, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("relay: age of a list of hosts: %w", err)
	}
	return hosts, bvclock.Duration(millis), nil
}

// fetchJSON decodes the JSON answer of another host, and returns its headers.
func fetchJSON(ctx context.Context, address, path string, limit bvclock.Duration, answer any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Std())
	defer cancel()
	response, err := get(ctx, address, path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body) // keeps the connection reusable
		return nil, fmt.Errorf("relay: status %d", response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return nil, fmt.Errorf("relay: %s can't be read: %w", path, err)
	}
	return response.Header, nil
}
