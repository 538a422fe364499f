package bvdispatch

import (
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// Desk holds the pools of all services for a daemon whose calls run side by
// side. Make one with NewDesk.
type Desk struct {
	clock bvclock.Clock
	seed  uint64

	mutex sync.Mutex
	pools map[string]*Pool
}

// NewDesk returns a Desk without pools.
func NewDesk(clock bvclock.Clock, seed uint64) *Desk {
	return &Desk{clock: clock, seed: seed, pools: make(map[string]*Pool)}
}

// SetEndpoints takes over the list of all endpoints. Services that have no
// endpoint any more keep an empty pool.
func (desk *Desk) SetEndpoints(listed []bvplatform.Endpoint) {
	byService := make(map[string][]bvplatform.Endpoint)
	for _, endpoint := range listed {
		byService[endpoint.Serves] = append(byService[endpoint.Serves], endpoint)
	}
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	for service := range byService {
		desk.pool(service)
	}
	for service, pool := range desk.pools {
		pool.SetEndpoints(byService[service])
	}
}

func (desk *Desk) pool(service string) *Pool {
	found := desk.pools[service]
	if found == nil {
		found = NewPool(desk.seed)
		desk.pools[service] = found
	}
	return found
}

// Choose returns the endpoint for a call and counts the call there. Each is to
// be followed by an End.
func (desk *Desk) Choose(service string, request *Request) (bvplatform.Endpoint, bool) {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	pool := desk.pool(service)
	chosen, found := pool.Choose(now, request)
	if found {
		pool.Begin(now, chosen.Name, request)
	}
	return chosen, found
}

// Told takes in an endpoint's own word on its load.
func (desk *Desk) Told(service, endpoint string, load bvroute.Load) {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.pool(service).Told(now, endpoint, load)
}

// End notes how a call ended and how long it took since its sending.
func (desk *Desk) End(service, endpoint string, outcome Outcome, took bvclock.Duration) {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.pool(service).End(now, endpoint, outcome, took)
}
