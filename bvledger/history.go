package bvledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"
)

// history is the concatenation of the messages of a program's turns, as the elements
// of a JSON array without its brackets.
type history struct {
	items  []byte
	digest string
}

// add appends the messages of one turn.
func (history *history) add(messages, message []byte) {
	history.appendItems(messages)
	history.appendItems(message)
	history.digest = chainDigest(history.digest, messages, message)
}

func (history *history) appendItems(array []byte) {
	elements := items(array)
	if len(elements) == 0 {
		return
	}
	if len(history.items) > 0 {
		history.items = append(history.items, ',')
	}
	history.items = append(history.items, elements...)
}

// array returns the whole history as a new JSON array.
func (history *history) array() []byte {
	array := make([]byte, 0, len(history.items)+2)
	array = append(array, '[')
	array = append(array, history.items...)
	return append(array, ']')
}

// newMessages returns the messages after the history; false if the given messages don't
// start with the history.
func (history *history) newMessages(messages []byte) ([]byte, bool) {
	stored, err := splitArray(history.array())
	if err != nil {
		return nil, false
	}
	given, err := splitArray(messages)
	if err != nil || len(given) < len(stored) {
		return nil, false
	}
	for i := range stored {
		if !isSameMessage(stored[i], given[i]) {
			return nil, false
		}
	}
	return encode(given[len(stored):]), true
}

func splitArray(array []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	err := json.Unmarshal(array, &elements)
	return elements, err
}

// isSameMessage compares two messages and ignores white space, the order of fields and
// null fields: client libraries parse an answer's message and encode it again
// differently.
func isSameMessage(stored, given json.RawMessage) bool {
	if bytes.Equal(stored, given) {
		return true
	}
	var a, b any
	if json.Unmarshal(stored, &a) != nil || json.Unmarshal(given, &b) != nil {
		return false
	}
	return reflect.DeepEqual(dropNulls(a), dropNulls(b))
}

func dropNulls(value any) any {
	fields, ok := value.(map[string]any)
	if !ok {
		return value
	}
	for name, field := range fields {
		if field == nil {
			delete(fields, name)
		}
	}
	return fields
}

func items(array []byte) []byte {
	array = bytes.TrimSpace(array)
	array = bytes.TrimPrefix(array, []byte("["))
	array = bytes.TrimSuffix(array, []byte("]"))
	return bytes.TrimSpace(array)
}

// chainDigest extends the digest of a history by one turn. The digest is stored in the
// head row and compared on load, so that a turn row that is missing or belongs to
// another history is detected and never sent to an engine.
func chainDigest(digest string, messages, message []byte) string {
	hash := sha256.New()
	hash.Write([]byte(digest))
	hash.Write([]byte{'\n'})
	hash.Write(messages)
	hash.Write([]byte{'\n'})
	hash.Write(message)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
