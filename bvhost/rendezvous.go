package bvhost

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvplatform"
)

// weightedHost is a host with its weight for one key.
type weightedHost struct {
	weight uint64
	host   *bvplatform.Host
}

// rankHosts returns the first hosts, up to limit, by highest random weight for a key.
// Each host computes the same order from the same list, and a host that joins or leaves
// moves only the keys for which it is or was first. Hosts for which isLast is true come
// after all others.
func rankHosts(hosts []bvplatform.Host, key string, limit int, isLast func(name string) bool) []bvplatform.Host {
	first := make([]weightedHost, 0, limit+1)
	last := make([]weightedHost, 0, limit+1)
	for i := range hosts {
		host := weightedHost{weight: hostWeight(hosts[i].Name, key), host: &hosts[i]}
		if isLast(host.host.Name) {
			last = insertRanked(last, host, limit)
			continue
		}
		first = insertRanked(first, host, limit)
	}
	result := make([]bvplatform.Host, 0, limit)
	for _, host := range append(first, last...) {
		if len(result) < limit {
			result = append(result, *host.host)
		}
	}
	return result
}

// insertRanked adds a host to a sorted list of at most limit hosts.
func insertRanked(ranked []weightedHost, host weightedHost, limit int) []weightedHost {
	if len(ranked) == limit && compareRank(host, ranked[limit-1]) > 0 {
		return ranked
	}
	at, _ := slices.BinarySearchFunc(ranked, host, compareRank)
	ranked = slices.Insert(ranked, at, host)
	return ranked[:min(len(ranked), limit)]
}

func compareRank(a, b weightedHost) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host.Name, b.host.Name))
}

// hostWeight hashes the host's name and the key together. The name's hash is the seed,
// which avoids a concatenation.
func hostWeight(name, key string) uint64 {
	digest := xxhash.NewWithSeed(xxhash.Sum64String(name))
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
