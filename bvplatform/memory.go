package bvplatform

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
)

// Memory is an in-memory platform without faults and without lag. The zero
// value is an empty platform; it is safe for concurrent use.
type Memory struct {
	mutex           sync.Mutex
	rows            map[string]Row
	objects         map[string][]byte
	hosts           map[string]Host
	endpointsByName map[string]Endpoint
	version         int64
	writes          int64
	reads           int64
}

// Commit implements Store.
func (memory *Memory) Commit(_ context.Context, transaction Transaction) (int64, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.writes++
	conflict := &ConflictError{}
	for _, check := range transaction.Checks {
		if memory.rows[check.Key].Version != check.Version {
			conflict.Keys = append(conflict.Keys, check.Key)
		}
	}
	if len(conflict.Keys) > 0 {
		return 0, conflict
	}
	if memory.rows == nil {
		memory.rows = make(map[string]Row)
	}
	// One counter for all rows: a row that is deleted and created again must not
	// get a version that an old check still expects.
	memory.version++
	for _, put := range transaction.Puts {
		memory.apply(put, transaction.Attempt)
	}
	return memory.version, nil
}

func (memory *Memory) apply(put Put, attempt string) {
	if put.Value == nil {
		delete(memory.rows, put.Key)
		return
	}
	memory.rows[put.Key] = Row{
		Key:     put.Key,
		Value:   bytes.Clone(put.Value),
		Version: memory.version,
		Attempt: attempt,
	}
}

// Read implements Store.
func (memory *Memory) Read(_ context.Context, keys ...string) ([]Row, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.reads++
	rows := make([]Row, len(keys))
	for i, key := range keys {
		row, found := memory.rows[key]
		if !found {
			row = Row{Key: key}
		}
		rows[i] = row
	}
	return rows, nil
}

// Scan implements Store.
func (memory *Memory) Scan(_ context.Context, prefix, after string, limit int) ([]Row, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.reads++
	var rows []Row
	for key, row := range memory.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// PutObject implements Objects.
func (memory *Memory) PutObject(_ context.Context, name string, content []byte) error {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.writes++
	if existing, found := memory.objects[name]; found && !bytes.Equal(existing, content) {
		return fmt.Errorf("platform: object %s exists with other content", name)
	}
	if memory.objects == nil {
		memory.objects = make(map[string][]byte)
	}
	memory.objects[name] = bytes.Clone(content)
	return nil
}

// Object implements Objects.
func (memory *Memory) Object(_ context.Context, name string) ([]byte, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.reads++
	content, found := memory.objects[name]
	if !found {
		return nil, fmt.Errorf("object %s: %w", name, ErrNotFound)
	}
	return bytes.Clone(content), nil
}

// DeleteObject implements Objects.
func (memory *Memory) DeleteObject(_ context.Context, name string) error {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.writes++
	delete(memory.objects, name)
	return nil
}

// Hosts implements HostList.
func (memory *Memory) Hosts(_ context.Context) ([]Host, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.reads++
	hosts := make([]Host, 0, len(memory.hosts))
	for _, host := range memory.hosts {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts, nil
}

// Announce implements HostList. An entry stays until RemoveHost.
func (memory *Memory) Announce(_ context.Context, host Host) error {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if memory.hosts == nil {
		memory.hosts = make(map[string]Host)
	}
	memory.hosts[host.Name] = host
	return nil
}

// RemoveHost takes a host off the list.
func (memory *Memory) RemoveHost(name string) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	delete(memory.hosts, name)
}

// Counts returns the number of writes and reads so far.
func (memory *Memory) Counts() (writes, reads int64) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.writes, memory.reads
}

// Endpoints implements EndpointList.
func (memory *Memory) Endpoints(_ context.Context) ([]Endpoint, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.reads++
	endpoints := make([]Endpoint, 0, len(memory.endpointsByName))
	for _, endpoint := range memory.endpointsByName {
		endpoints = append(endpoints, endpoint)
	}
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return endpoints, nil
}

// PutEndpoint adds or updates an endpoint of the list.
func (memory *Memory) PutEndpoint(endpoint Endpoint) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if memory.endpointsByName == nil {
		memory.endpointsByName = make(map[string]Endpoint)
	}
	memory.endpointsByName[endpoint.Name] = endpoint
}

// RemoveEndpoint takes an endpoint off the list.
func (memory *Memory) RemoveEndpoint(name string) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	delete(memory.endpointsByName, name)
}
