package bvledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"
)

// history is the concatenation of the messages of a program's turns, as the
// inside of a JSON array.
type history struct {
	inside []byte
	digest string
}

// add appends the messages of one turn.
func (history *history) add(messages, message []byte) {
	history.join(messages)
	history.join(message)
	history.digest = chain(history.digest, messages, message)
}

func (history *history) join(array []byte) {
	elements := inside(array)
	if len(elements) == 0 {
		return
	}
	if len(history.inside) > 0 {
		history.inside = append(history.inside, ',')
	}
	history.inside = append(history.inside, elements...)
}

// array returns the whole history as a JSON array of its own.
func (history *history) array() []byte {
	array := make([]byte, 0, len(history.inside)+2)
	array = append(array, '[')
	array = append(array, history.inside...)
	return append(array, ']')
}

// after returns what messages add to the history that they begin with; false
// if they begin with another one.
func (history *history) after(messages []byte) ([]byte, bool) {
	kept, err := split(history.array())
	if err != nil {
		return nil, false
	}
	given, err := split(messages)
	if err != nil || len(given) < len(kept) {
		return nil, false
	}
	for i := range kept {
		if !sameMessage(kept[i], given[i]) {
			return nil, false
		}
	}
	return encode(given[len(kept):]), true
}

func split(array []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	err := json.Unmarshal(array, &elements)
	return elements, err
}

// sameMessage ignores white space, the order of fields and null fields: client
// libraries parse an answer's message and write it out again in their own way.
func sameMessage(kept, given json.RawMessage) bool {
	if bytes.Equal(kept, given) {
		return true
	}
	var a, b any
	if json.Unmarshal(kept, &a) != nil || json.Unmarshal(given, &b) != nil {
		return false
	}
	return reflect.DeepEqual(withoutNull(a), withoutNull(b))
}

func withoutNull(value any) any {
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

func inside(array []byte) []byte {
	array = bytes.TrimSpace(array)
	array = bytes.TrimPrefix(array, []byte("["))
	array = bytes.TrimSuffix(array, []byte("]"))
	return bytes.TrimSpace(array)
}

// chain extends the digest of a history by one turn. It is kept in the head
// row and compared on load, so that a turn row that is missing or belongs to
// another history is noticed and never sent to an engine.
func chain(digest string, messages, message []byte) string {
	hash := sha256.New()
	hash.Write([]byte(digest))
	hash.Write([]byte{'\n'})
	hash.Write(messages)
	hash.Write([]byte{'\n'})
	hash.Write(message)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
