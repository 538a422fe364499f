package bvbudget

import (
	"encoding/json"
	"fmt"
)

// Record is a program's durable row: which hosts have reserved how much of its
// budget. A host's entry counts as spent whether or not the host still lives,
// so the sum never passes the budget.
type Record struct {
	Granted map[string]int `json:"granted"` // tokens by incarnation of a host
	Expires int64          `json:"expires"` // when the row may be removed: time of day, in seconds
}

func decode(value []byte) (Record, error) {
	if len(value) == 0 {
		return Record{}, nil
	}
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fmt.Errorf("budget: record can't be read: %w", err)
	}
	return record, nil
}

func (record Record) encode() []byte {
	encoded, _ := json.Marshal(record) // a map of numbers always encodes
	return encoded
}

// total is what all hosts have reserved.
func (record Record) total() int {
	sum := 0
	for _, granted := range record.Granted {
		sum += granted
	}
	return sum
}

// with returns the record with a host's entry replaced.
func (record Record) with(host string, granted int) Record {
	changed := Record{Granted: make(map[string]int, len(record.Granted)+1), Expires: record.Expires}
	for name, tokens := range record.Granted {
		changed.Granted[name] = tokens
	}
	changed.Granted[host] = granted
	if granted == 0 {
		delete(changed.Granted, host)
	}
	return changed
}

const (
	// blockShare is the most of what is left of a budget that a host reserves
	// beyond its need. What is lost with a host must leave enough for the
	// others.
	blockShare = 0.5
	// blockTurns is the same in turns at their most.
	blockTurns = 3
	// plentyTurns is from how many turns on there is enough for such blocks. A
	// host that gets more than it needs of less than that seldom saves a question:
	// 793 of 1,586 tokens don't hold a second turn of 572 after one that spent 250.
	plentyTurns = 6
)

// grow returns how much more a host may reserve, at least need tokens, or
// false where the budget does not hold that. A host reserves more than it
// needs so that turns on all hosts seldom wait for a write, and a program goes
// on while the store is away.
func (record Record) grow(budget, need, most int) (int, bool) {
	left := budget - record.total()
	if left < need {
		return 0, false
	}
	return block(left, need, most), true
}

// block is how much of what is left a host gets that needs some of it. Where little
// is left it is no more than that: what lies unspent at one host, or is lost with
// it, is missing at the next one.
func block(left, need, most int) int {
	if left < plentyTurns*most {
		return need
	}
	return max(need, min(int(float64(left)*blockShare), blockTurns*most))
}
