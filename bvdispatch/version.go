package bvdispatch

import "balsamvalve.example/bvclock"

// OpenVersions returns the software versions of the endpoints that accept calls, with the
// number of endpoints of each.
func (pool *Pool) OpenVersions(now bvclock.Time) map[string]int {
	versions := make(map[string]int)
	for _, row := range pool.rows {
		if row.entry.AcceptsCalls(now) {
			versions[row.entry.Version]++
		}
	}
	return versions
}

// OpenVersions returns the software versions of a service's endpoints that accept calls, with
// the number of endpoints of each.
func (dispatcher *Dispatcher) OpenVersions(service string) map[string]int {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.pool(service).OpenVersions(now)
}
