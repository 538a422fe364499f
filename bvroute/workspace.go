package bvroute

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Workspace is a row of the table of workspaces, with its keys and its usage cap.
type Workspace struct {
	Name     string
	Keys     []KeyDigest
	Rate     float64 // requests a second over all hosts; 0 means no cap
	Burst    float64 // requests beyond the rate that may arrive at once
	Priority *int    // rank of its requests; nil: the route's priority
}

// HasCap reports whether the workspace has a usage cap.
func (workspace *Workspace) HasCap() bool { return workspace.Rate > 0 }

// PriorityOn returns the priority of a request that the workspace sends on a route.
func (workspace *Workspace) PriorityOn(route *Route) int {
	if workspace == nil || workspace.Priority == nil {
		return route.Priority
	}
	return *workspace.Priority
}

// KeyDigest is the SHA-256 digest of an API key. Keys are not stored in plain text.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (digest KeyDigest) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(digest[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (digest *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(digest)) {
		return fmt.Errorf("key digest: %d characters", len(text))
	}
	if _, err := hex.Decode(digest[:], text); err != nil {
		return fmt.Errorf("key digest: %w", err)
	}
	return nil
}

// workspaces holds all workspaces of a Table, indexed by their keys.
type workspaces struct {
	rows       []Workspace
	byKey      map[KeyDigest]*Workspace
	sharedKeys int // listed by more than one workspace
}

func newWorkspaces(rows []Workspace) (*workspaces, error) {
	workspaces := &workspaces{rows: rows, byKey: make(map[KeyDigest]*Workspace)}
	names := make(map[string]bool, len(rows))
	for i := range rows {
		workspace := &rows[i]
		if workspace.Name == "" || names[workspace.Name] {
			return nil, fmt.Errorf("workspace %q: the name is empty or not the only one", workspace.Name)
		}
		if workspace.Rate < 0 || workspace.Burst < 0 {
			return nil, fmt.Errorf("workspace %s: negative usage cap", workspace.Name)
		}
		names[workspace.Name] = true
		workspaces.addKeys(workspace)
	}
	return workspaces, nil
}

// addKeys lists a workspace's keys. A key that is listed twice belongs to the
// first workspace, so that all hosts attribute its requests to the same one.
func (workspaces *workspaces) addKeys(workspace *Workspace) {
	for _, key := range workspace.Keys {
		holder, listed := workspaces.byKey[key]
		switch {
		case !listed:
			workspaces.byKey[key] = workspace
		case holder != workspace:
			workspaces.sharedKeys++
		}
	}
}

// find looks up a key by its digest, whose bytes a client can't choose, so that the time of
// the lookup reveals nothing about other keys.
func (workspaces *workspaces) find(key string) (*Workspace, bool) {
	if workspaces == nil || key == "" {
		return nil, false
	}
	workspace, found := workspaces.byKey[DigestKey(key)]
	return workspace, found
}
