// Package bvkey identifies the holder of the key that a request carries: the member
// that the key belongs to and the holder's role.
//
// A keys file has one key per line, "<member> <role> <key>"; empty lines and lines that
// begin with # are skipped. The roles are caller (sends programs' calls), operator
// (edits the member's own rows of the table) and admin (starts an empty table and reads
// the status of all hosts, but edits no member's row).
//
// # Usage
//
//	ring, err := bvkey.ReadFile("/etc/balsamvalve/keys")
//	member, role, found := ring.Find(key)
//	if !found || role != bvkey.Operator {
//		return bvverdict.Refuse(bvverdict.Unauthorized, "key not known")
//	}
package bvkey

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
)

// minKeyLength is in characters. A shorter key could be guessed by sending requests.
const minKeyLength = 8

// memberName matches the names that the table's keys and the metrics can carry: without
// slashes and blanks.
var memberName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Ring is a set of hashed keys. The zero value is empty. A Ring is immutable after it
// was read and is safe for concurrent use.
type Ring struct {
	holders []holder
}

type holder struct {
	digest [sha256.Size]byte
	member string
	role   Role
}

// Find returns the member and the role that the key belongs to.
//
// The key is hashed and compared with every entry in constant time: the duration of a
// lookup that stopped at the first differing byte, or at the first match, would reveal
// to an attacker how much of a guessed key is right.
func (ring *Ring) Find(key string) (member string, role Role, found bool) {
	if ring == nil {
		return "", NoRole, false
	}
	digest := sha256.Sum256([]byte(key))
	match := -1
	for i := range ring.holders {
		equal := subtle.ConstantTimeCompare(ring.holders[i].digest[:], digest[:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return "", NoRole, false
	}
	return ring.holders[match].member, ring.holders[match].role, true
}

// Len returns the number of keys.
func (ring *Ring) Len() int {
	if ring == nil {
		return 0
	}
	return len(ring.holders)
}

// ReadFile reads a keys file.
func ReadFile(path string) (*Ring, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	defer func() { _ = file.Close() }()
	return Read(file)
}

// CallerKeys reads keys like Read and returns the first caller's key of each member,
// for a client that acts for several members.
func CallerKeys(source io.Reader) (map[string]string, error) {
	var content strings.Builder
	if _, err := Read(io.TeeReader(source, &content)); err != nil {
		return nil, err
	}
	keys := make(map[string]string)
	for line := range strings.Lines(content.String()) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[1] == Caller.String() && keys[fields[0]] == "" {
			keys[fields[0]] = fields[2]
		}
	}
	return keys, nil
}

// Read reads keys, one per line. Errors contain the number of the line and never the
// key.
func Read(source io.Reader) (*Ring, error) {
	ring := &Ring{}
	scanner := bufio.NewScanner(source)
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := ring.add(line); err != nil {
			return nil, fmt.Errorf("keys: line %d: %w", number, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return ring, nil
}

func (ring *Ring) add(line string) error {
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return fmt.Errorf("got %d fields, want <member> <role> <key>", len(fields))
	}
	if !memberName.MatchString(fields[0]) {
		return fmt.Errorf("the member's name may have letters, digits, dots, underscores and hyphens only")
	}
	role, err := ParseRole(fields[1])
	if err != nil {
		return err
	}
	if len(fields[2]) < minKeyLength {
		return fmt.Errorf("the key has fewer than %d characters", minKeyLength)
	}
	if _, _, found := ring.Find(fields[2]); found {
		return fmt.Errorf("the key is also in an earlier line")
	}
	ring.holders = append(ring.holders, holder{
		digest: sha256.Sum256([]byte(fields[2])),
		member: fields[0],
		role:   role,
	})
	return nil
}
