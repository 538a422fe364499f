package bvhistory

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Turn is a turn of a conversation as it is kept.
type Turn struct {
	ID         string
	Ancestors  []string // ids of the turns before it, oldest first
	ChainStart int64    // when the oldest of the chain was written: time of day, in seconds
	Expires    int64    // when no later turn can need this one: time of day, in seconds
	Input      []byte   // what the caller sent
	Output     []byte   // the data of each event, each with a line feed behind it
	Placement  Placement
}

// Placement tells where a turn was run, so that whoever gets the next one, through any
// host, can send it where its conversation is cached. The zero value tells nothing.
type Placement struct {
	Endpoint uint64 // hash of its ID
	Tokens   int    // of the prompt and the answer
}

// size is about what the turn takes in memory, in bytes.
func (turn *Turn) size() int {
	return len(turn.Input) + len(turn.Output) + rowOverhead
}

// encode writes the turn as lengths and bytes: most of it is text that JSON
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

var errShort = errors.New("history: row is cut off")

// decodeTurn reads a turn that encode wrote.
func decodeTurn(id string, encoded []byte) (*Turn, error) {
	reader := reader{rest: encoded}
	turn := &Turn{ID: id, ChainStart: reader.varint(), Expires: reader.varint()}
	count := reader.uvarint()
	for range min(count, uint64(len(encoded))) {
		turn.Ancestors = append(turn.Ancestors, string(reader.bytes()))
	}
	turn.Input = reader.bytes()
	turn.Output = reader.bytes()
	if reader.err == nil && len(reader.rest) > 0 { // rows of earlier versions end here
		turn.Placement = Placement{Endpoint: reader.uvarint(), Tokens: int(reader.uvarint())}
	}
	if reader.err != nil {
		return nil, fmt.Errorf("turn %s: %w", id, reader.err)
	}
	return turn, nil
}

// reader reads lengths and bytes, and keeps its first error.
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
		reader.err = errShort
		return nil
	}
	value := reader.rest[:length]
	reader.rest = reader.rest[length:]
	return value
}

func (reader *reader) skip(count int) {
	if count <= 0 {
		reader.err = errShort
		reader.rest = nil
		return
	}
	reader.rest = reader.rest[count:]
}
