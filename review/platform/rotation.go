package main

import (
	"net/http"
	"sync"
	"time"
)

// rotation is the balancer's list of hosts that receive new connections: a host is out of it after two
// checks in a row without a 200.
type rotation struct {
	fleet *fleet
	stop  chan struct{}

	mutex  sync.Mutex
	misses map[*host]int
}

func newRotation(fleet *fleet) *rotation {
	rotation := &rotation{fleet: fleet, stop: make(chan struct{}), misses: make(map[*host]int)}
	for _, host := range fleet.hosts {
		go rotation.follow(host)
	}
	return rotation
}

// follow checks a host each second.
func (rotation *rotation) follow(host *host) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 900 * time.Millisecond}
	for {
		response, err := client.Get("http://" + host.address(readyOffset) + "/api/readyz")
		isReady := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		rotation.mutex.Lock()
		rotation.misses[host]++
		if isReady {
			rotation.misses[host] = 0
		}
		rotation.mutex.Unlock()
		select {
		case <-time.After(time.Second):
		case <-rotation.stop:
			return
		}
	}
}

// choose returns the host for a new connection of a client: its own one, or the next one in rotation.
func (rotation *rotation) choose(own int) *host {
	rotation.mutex.Lock()
	defer rotation.mutex.Unlock()
	hosts := rotation.fleet.hosts
	for step := range hosts {
		host := hosts[(own+step)%len(hosts)]
		if rotation.misses[host] < 2 {
			return host
		}
	}
	return hosts[own%len(hosts)]
}
