package bvhistory

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvplatform"
)

// key is where a piece of a turn stands, in one of its places.
func key(id string, place, piece int) string {
	part := (xxhash.Sum64String(id) >> (placeBits * place)) % shards
	base := fmt.Sprintf("history/%02x/%s", part, id)
	if piece == 0 {
		return base
	}
	return fmt.Sprintf("%s+%d", base, piece)
}

// placeBits is how many bits of a turn's hash choose its part in one place.
const placeBits = 8

// base64Share is the part of a row that a value may fill, in case that a row's
// limit counts the encoded bytes.
const base64Share = 0.74

// headBytes is what each row begins with: how many rows the turn has, in one
// byte, and when they expire, in eight.
const headBytes = 9

// rows splits a turn into the rows of one of its places.
func (store *Store) rows(turn *Turn, place int) []bvplatform.Put {
	encoded := turn.encode()
	limit := max(int(float64(store.rowBytes)*base64Share), 1<<10)
	count := (len(encoded) + limit - 1) / limit
	puts := make([]bvplatform.Put, 0, count)
	for piece := range count {
		value := binary.BigEndian.AppendUint64([]byte{byte(count)}, uint64(turn.Expires))
		value = append(value, encoded[piece*limit:min((piece+1)*limit, len(encoded))]...)
		puts = append(puts, bvplatform.Put{Key: key(turn.ID, place, piece), Value: value})
	}
	return puts
}

// turn returns a turn that is at hand, or reads it.
func (store *Store) turn(ctx context.Context, id string) (*Turn, error) {
	if found := store.cached(id); found != nil {
		return found, nil
	}
	encoded, err := store.read(ctx, id)
	if err != nil {
		return nil, err
	}
	turn, err := decodeTurn(id, encoded)
	if err != nil {
		return nil, err
	}
	store.remember(turn)
	return turn, nil
}

// read looks for a turn in its places. That there is no such turn is sure only
// if all of them were read.
func (store *Store) read(ctx context.Context, id string) ([]byte, error) {
	var unsure error
	for place := range places {
		encoded, err := store.readPlace(ctx, id, place)
		if err == nil {
			return encoded, nil
		}
		if !errors.Is(err, bvplatform.ErrNotFound) {
			unsure = err
		}
	}
	if unsure != nil {
		return nil, unsure
	}
	return nil, fmt.Errorf("turn %s: %w", id, bvplatform.ErrNotFound)
}

func (store *Store) readPlace(ctx context.Context, id string, place int) ([]byte, error) {
	rows, err := store.durable.Read(ctx, key(id, place, 0))
	if err != nil {
		return nil, err
	}
	if len(rows[0].Value) < headBytes {
		return nil, fmt.Errorf("turn %s: %w", id, bvplatform.ErrNotFound)
	}
	pieces, encoded := int(rows[0].Value[0]), rows[0].Value[headBytes:]
	if pieces == 1 {
		return encoded, nil
	}
	keys := make([]string, 0, pieces)
	for piece := 1; piece < pieces; piece++ {
		keys = append(keys, key(id, place, piece))
	}
	rest, err := store.durable.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for _, row := range rest {
		if len(row.Value) < headBytes {
			return nil, fmt.Errorf("turn %s: %w", id, errShort)
		}
		encoded = append(encoded, row.Value[headBytes:]...)
	}
	return encoded, nil
}
