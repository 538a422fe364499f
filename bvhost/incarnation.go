package bvhost

import (
	"crypto/rand"
	"encoding/hex"
)

// NewIncarnation returns a random ID for this start of the process. Two starts under
// one host name must never be confused: the second has no record of what the first
// claimed.
func NewIncarnation() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}
