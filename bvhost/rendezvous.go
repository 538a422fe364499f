package bvhost

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvplatform"
)

// rank orders hosts by highest random weight for a key. Each host computes the
// same order from the same list, and a host that joins or leaves moves only
// the keys that it wins or won.
func rank(hosts []bvplatform.Host, key string) []bvplatform.Host {
	ranked := make([]bvplatform.Host, len(hosts))
	copy(ranked, hosts)
	weights := make(map[string]uint64, len(hosts))
	for _, host := range hosts {
		weights[host.Name] = weight(host.Name, key)
	}
	sort.Slice(ranked, func(i, j int) bool {
		left, right := weights[ranked[i].Name], weights[ranked[j].Name]
		if left != right {
			return left > right
		}
		return ranked[i].Name < ranked[j].Name
	})
	return ranked
}

func weight(name, key string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
