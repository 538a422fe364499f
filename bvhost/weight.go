package bvhost

// Weight mixes the hashes of an item and of a key, for rendezvous hashing: a key's first
// item is the one with the highest weight. All hosts must compute the same weights.
func Weight(item, key uint64) uint64 {
	const golden = 0x9e3779b97f4a7c15 // 2^64 over the golden ratio
	mixed := (item ^ key) * golden
	mixed ^= mixed >> 32
	mixed *= golden
	return mixed ^ mixed>>29
}
