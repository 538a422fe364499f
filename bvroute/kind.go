package bvroute

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of a route's requests: whether they may be repeated, and whether the
// answer is a stream.
type Kind int

// The kinds. The zero value is the most restrictive one.
const (
	NonIdempotent Kind = iota // non-idempotent
	Idempotent                // idempotent
	Stream                    // stream
)
