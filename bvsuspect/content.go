package bvsuspect

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

//go:generate stringer -type=Feature -linecomment -output=feature_string.go

// Feature is what a fingerprint is of.
type Feature int

// The features, from the narrowest to the widest: of two that explain the same crashes, the narrower
// one counts.
const (
	WholeRequest Feature = iota // request
	Path                        // path
	Object                      // object
	Part                        // part
)

// isShared reports whether different requests may have the feature in common.
func (feature Feature) isShared() bool { return feature != WholeRequest }

// maxParts bounds the parts of a prompt that count as features. Later parts belong to one program,
// whose requests are known by their fingerprints.
const maxParts = 12

// Content holds the features of a request by which it may crash endpoints: the request itself, and
// what other requests of its workspace may have in common with it.
type Content struct {
	Request Fingerprint
	Shared  []Fingerprint
}

// Scope limits shared features to the requests that may be refused for them: those of one workspace.
type Scope struct {
	Workspace string
	Model     string // engines read a part for each model separately
}

// AddPath adds the path of a request, by a hash that includes the host name.
func (content *Content) AddPath(scope Scope, path uint64) { content.add(scope, Path, path) }

// AddObject adds the object that a request concerns, by the hash of its ID.
func (content *Content) AddObject(scope Scope, object uint64) { content.add(scope, Object, object) }

// AddParts adds the first parts of a prompt, by the hashes of their IDs.
func (content *Content) AddParts(scope Scope, parts []uint64) {
	for _, part := range parts[:min(len(parts), maxParts)] {
		content.add(scope, Part, part)
	}
}

func (content *Content) add(scope Scope, feature Feature, id uint64) {
	fingerprint := newShared(feature, scope.hash(feature, id))
	if !slices.Contains(content.Shared, fingerprint) {
		content.Shared = append(content.Shared, fingerprint)
	}
}

func (scope Scope) hash(feature Feature, id uint64) uint64 {
	digest := xxhash.New()
	for _, text := range []string{feature.String(), scope.Workspace, scope.Model} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0}) // ends the text
	}
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, id))
	return digest.Sum64()
}

func newShared(feature Feature, hash uint64) Fingerprint {
	return Fingerprint{Exact: hash, AnyQuery: hash, Feature: feature}
}

// features returns the fingerprints of all features.
func (content *Content) features() []Fingerprint {
	features := make([]Fingerprint, 0, 1+len(content.Shared))
	if content.Request != (Fingerprint{}) {
		features = append(features, content.Request)
	}
	return append(features, content.Shared...)
}
