package bvhost

import (
	"crypto/rand"
	"encoding/hex"
)

// NewIncarnation names this start of the process. Two starts under one host
// name must never be taken for each other: the second knows nothing of what
// the first has claimed.
func NewIncarnation() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}
