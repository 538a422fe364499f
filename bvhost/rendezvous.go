package bvhost

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvplatform"
)

// ranked is a host with its weight for one key.
type ranked struct {
	weight uint64
	host   *bvplatform.Host
}

// rank returns the first few hosts by highest random weight for a key. Each
// host computes the same order from the same list, and a host that joins or
// leaves moves only the keys that it wins or won. Hosts that late reports come
// after all others.
func rank(hosts []bvplatform.Host, key string, most int, late func(name string) bool) []bvplatform.Host {
	first := make([]ranked, 0, most+1)
	last := make([]ranked, 0, most+1)
	for i := range hosts {
		host := ranked{weight: weight(hosts[i].Name, key), host: &hosts[i]}
		if late(host.host.Name) {
			last = insert(last, host, most)
			continue
		}
		first = insert(first, host, most)
	}
	result := make([]bvplatform.Host, 0, most)
	for _, host := range append(first, last...) {
		if len(result) < most {
			result = append(result, *host.host)
		}
	}
	return result
}

// insert keeps the first few in order.
func insert(kept []ranked, host ranked, most int) []ranked {
	if len(kept) == most && compare(host, kept[most-1]) > 0 {
		return kept
	}
	at, _ := slices.BinarySearchFunc(kept, host, compare)
	kept = slices.Insert(kept, at, host)
	return kept[:min(len(kept), most)]
}

func compare(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host.Name, b.host.Name))
}

// weight hashes the host's name and the key together. The name's hash is the
// seed, so that no concatenation has to be made.
func weight(name, key string) uint64 {
	digest := xxhash.NewWithSeed(xxhash.Sum64String(name))
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
