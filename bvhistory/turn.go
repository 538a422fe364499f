package bvhistory

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Turn is a persisted turn of a conversation.
type Turn struct {
	ID         string
	Ancestors  []string // ids of the turns before it, oldest first
	ChainStart int64    // when the oldest turn of the chain was written: Unix time, in seconds
	Expires    int64    // after which no later turn can need this one: Unix time, in seconds
	Input      []byte   // what the caller sent
	Output     []byte   // the data of each event, each followed by a line feed
	Placement  Placement
}

// Placement is where a turn ran, so that any host that receives the next turn can send
// it to the engine that has the conversation cached. The zero value means unknown.
type Placement struct {
	Endpoint uint64 // hash of the endpoint's ID
	Tokens   int    // length of the prompt and the answer
}

// size estimates the memory that the turn takes, in bytes.
func (turn *Turn) size() int {
	return len(turn.Input) + len(turn.Output) + rowOverhead
}

// maxTransactionBytes bounds the text of a turn that is written in one transaction: the store accepts
// one of a megabyte, in base64.
const maxTransactionBytes = 512 << 10

// splitInput takes parts off the input of a turn that is too long for one transaction, which become
// ancestors of the turn, and returns them.
func (turn *Turn) splitInput() (parts []*Turn) {
	for len(turn.Input) > 0 && len(turn.Input)+len(turn.Output) > maxTransactionBytes {
		length := min(len(turn.Input), maxTransactionBytes)
		part := &Turn{
			ID: fmt.Sprintf("%s part %d", turn.ID, len(parts)), ChainStart: turn.ChainStart, Expires: turn.Expires, Input: turn.Input[:length],
		}
		parts = append(parts, part)
		turn.Ancestors = append(turn.Ancestors, part.ID)
		turn.Input = turn.Input[length:]
	}
	return parts
}

// encode serializes the turn as length-prefixed bytes: most of it is text that JSON
// would escape.
func (turn *Turn) encode() []byte {
	size := 64 + len(turn.Input) + len(turn.Output)
	encoded := make([]byte, 0, size)
	encoded = binary.AppendVarint(encoded, turn.ChainStart)
	encoded = binary.AppendVarint(encoded, turn.Expires)
	encoded = binary.AppendUvarint(encoded, uint64(len(turn.Ancestors)))
	for _, ancestor := range turn.Ancestors {
		encoded = appendBytes(encoded, []byte(ancestor))
	}
	encoded = appendBytes(encoded, turn.Input)
	encoded = appendBytes(encoded, turn.Output)
	encoded = binary.AppendUvarint(encoded, turn.Placement.Endpoint)
	return binary.AppendUvarint(encoded, uint64(turn.Placement.Tokens))
}

func appendBytes(encoded, value []byte) []byte {
	encoded = binary.AppendUvarint(encoded, uint64(len(value)))
	return append(encoded, value...)
}

var errTruncated = errors.New("history: row is truncated")

// decodeTurn parses the output of encode.
func decodeTurn(id string, encoded []byte) (*Turn, error) {
	reader := reader{rest: encoded}
	turn := &Turn{ID: id, ChainStart: reader.varint(), Expires: reader.varint()}
	count := reader.uvarint()
	for range min(count, uint64(len(encoded))) {
		turn.Ancestors = append(turn.Ancestors, string(reader.bytes()))
	}
	turn.Input = reader.bytes()
	turn.Output = reader.bytes()
	if reader.err == nil && len(reader.rest) > 0 { // rows written by earlier versions end here
		turn.Placement = Placement{Endpoint: reader.uvarint(), Tokens: int(reader.uvarint())}
	}
	if reader.err != nil {
		return nil, fmt.Errorf("turn %s: %w", id, reader.err)
	}
	return turn, nil
}

// reader parses length-prefixed bytes and holds the first error.
type reader struct {
	rest []byte
	err  error
}

func (reader *reader) varint() int64 {
	value, count := binary.Varint(reader.rest)
	reader.skip(count)
	return value
}

func (reader *reader) uvarint() uint64 {
	value, count := binary.Uvarint(reader.rest)
	reader.skip(count)
	return value
}

func (reader *reader) bytes() []byte {
	length := reader.uvarint()
	if reader.err != nil || length > uint64(len(reader.rest)) {
		reader.err = errTruncated
		return nil
	}
	value := reader.rest[:length]
	reader.rest = reader.rest[length:]
	return value
}

func (reader *reader) skip(count int) {
	if count <= 0 {
		reader.err = errTruncated
		reader.rest = nil
		return
	}
	reader.rest = reader.rest[count:]
}
