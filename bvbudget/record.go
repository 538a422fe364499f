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
	Touched int64          `json:"touched"` // time of day of the last change, in seconds
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
	changed := Record{Granted: make(map[string]int, len(record.Granted)+1), Touched: record.Touched}
	for name, tokens := range record.Granted {
		changed.Granted[name] = tokens
	}
	changed.Granted[host] = granted
	if granted == 0 {
		delete(changed.Granted, host)
	}
	return changed
}

// plentiful is how many further turns must fit for a host to reserve one turn
// more than it needs. A turn generates about half of its most, so that a block
// of two turns lasts for three and saves two writes of the store in three; near
// the end of a budget, another host may need what would lie idle here.
const plentiful = 3

// grow returns how much a host may reserve so that it can spend need tokens
// more than it has spent, or false where the budget does not hold that.
func (record Record) grow(host string, budget, spent, need, most int) (int, bool) {
	others := record.total() - record.Granted[host]
	left := budget - others - spent - need
	if left < 0 {
		return 0, false
	}
	wanted := spent + need
	if left >= plentiful*most {
		wanted += most
	}
	return max(wanted, record.Granted[host]), true
}
