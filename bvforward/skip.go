package bvforward

//go:generate stringer -type=SkipReason -linecomment -output=skipreason_string.go

// SkipReason is why an answer does not belong to the request in flight.
type SkipReason int

// The reasons. The texts name counters.
const (
	OtherID     SkipReason = iota // other_id
	WithoutID                     // without_id
	skipReasons                   // skip_reasons
)

// Skipped returns the number of answers that belonged to no request in flight, by reason.
func (connections *Connections) Skipped() map[SkipReason]int64 {
	counts := make(map[SkipReason]int64)
	for reason := range connections.skipped {
		counts[SkipReason(reason)] = connections.skipped[reason].Load()
	}
	return counts
}
