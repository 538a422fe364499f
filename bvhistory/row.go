package bvhistory

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvplatform"
)

// rowKey returns the key of one chunk of a turn in one of its candidate shards.
func rowKey(id string, candidate, chunk int) string {
	shard := (xxhash.Sum64String(id) >> (candidateBits * candidate)) % shards
	base := fmt.Sprintf("history/%02x/%s", shard, id)
	if chunk == 0 {
		return base
	}
	return fmt.Sprintf("%s+%d", base, chunk)
}

// candidateBits is the number of bits of a turn's hash that select one candidate
// shard.
const candidateBits = 8

// base64Share is the share of a row's limit that a value may fill, in case the
// limit counts the base64-encoded bytes.
const base64Share = 0.74

// headerBytes is the length of the header of each row: the number of rows of the
// turn, in one byte, and their time of expiry, in eight.
const headerBytes = 9

// encodeRows splits a turn into rows for one of its candidate shards.
func (store *Store) encodeRows(turn *Turn, candidate int) []bvplatform.Put {
	encoded := turn.encode()
	limit := max(int(float64(store.rowBytes)*base64Share), 1<<10)
	count := (len(encoded) + limit - 1) / limit
	puts := make([]bvplatform.Put, 0, count)
	for chunk := range count {
		value := binary.BigEndian.AppendUint64([]byte{byte(count)}, uint64(turn.Expires))
		value = append(value, encoded[chunk*limit:min((chunk+1)*limit, len(encoded))]...)
		puts = append(puts, bvplatform.Put{Key: rowKey(turn.ID, candidate, chunk), Value: value})
	}
	return puts
}

// loadTurn returns a turn from the cache, or reads it from the platform.
func (store *Store) loadTurn(ctx context.Context, id string) (*Turn, error) {
	if found := store.cachedTurn(id); found != nil {
		return found, nil
	}
	encoded, err := store.readTurn(ctx, id)
	if err != nil {
		return nil, err
	}
	turn, err := decodeTurn(id, encoded)
	if err != nil {
		return nil, err
	}
	store.cacheTurn(turn)
	return turn, nil
}

// readTurn searches the candidate shards of a turn. It reports the turn as not found
// only if every one of them was read.
func (store *Store) readTurn(ctx context.Context, id string) ([]byte, error) {
	var readErr error
	for candidate := range candidateShards {
		encoded, err := store.readCandidate(ctx, id, candidate)
		if err == nil {
			return encoded, nil
		}
		if !errors.Is(err, bvplatform.ErrNotFound) {
			readErr = err
		}
	}
	if readErr != nil {
		return nil, readErr
	}
	return nil, fmt.Errorf("turn %s: %w", id, bvplatform.ErrNotFound)
}

func (store *Store) readCandidate(ctx context.Context, id string, candidate int) ([]byte, error) {
	rows, err := store.platform.Read(ctx, rowKey(id, candidate, 0))
	if err != nil {
		return nil, err
	}
	if len(rows[0].Value) < headerBytes {
		return nil, fmt.Errorf("turn %s: %w", id, bvplatform.ErrNotFound)
	}
	chunks, encoded := int(rows[0].Value[0]), rows[0].Value[headerBytes:]
	if chunks == 1 {
		return encoded, nil
	}
	keys := make([]string, 0, chunks)
	for chunk := 1; chunk < chunks; chunk++ {
		keys = append(keys, rowKey(id, candidate, chunk))
	}
	rest, err := store.platform.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for _, row := range rest {
		if len(row.Value) < headerBytes {
			return nil, fmt.Errorf("turn %s: %w", id, errTruncated)
		}
		encoded = append(encoded, row.Value[headerBytes:]...)
	}
	return encoded, nil
}
