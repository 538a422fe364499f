package bvtable

import (
	"strings"

	"balsamvalve.example/bvclock"
)

// Row is one row of the operators' table, for a member or for one class of its programs. The
// class of a member's own row is empty.
type Row struct {
	Member      string           `json:"member"`
	Class       string           `json:"class,omitempty"`
	Share       float64          `json:"share,omitempty"`       // percent of engine work; only on a member's own row
	Priority    int              `json:"priority,omitempty"`    // within the member; the highest runs first
	Rate        float64          `json:"rate,omitempty"`        // calls a second; 0: unbounded
	Concurrency int              `json:"concurrency,omitempty"` // concurrent calls; 0: unbounded
	Budget      int64            `json:"budget,omitempty"`      // work units per program; 0: unbounded
	Turns       int              `json:"turns,omitempty"`       // calls per program; 0: unbounded
	Idle        bvclock.Duration `json:"idle,omitempty"`        // in milliseconds, after which a program counts as lost; 0: unbounded
	Models      []string         `json:"models,omitempty"`      // allowed models; empty: all
	Services    []string         `json:"services,omitempty"`    // allowed services; empty: all
}

// RowName is the identity of a row.
type RowName struct {
	Member string
	Class  string
}

// Name returns the identity of the row.
func (row *Row) Name() RowName {
	return RowName{Member: row.Member, Class: row.Class}
}

// ParseRowName parses the output of String.
func ParseRowName(text string) RowName {
	member, class, _ := strings.Cut(text, "/")
	return RowName{Member: member, Class: class}
}

// String formats the name as member or member/class.
func (name RowName) String() string {
	if name.Class == "" {
		return name.Member
	}
	return name.Member + "/" + name.Class
}

// compare orders rows by member, each member's own row before its classes.
func (name RowName) compare(other RowName) int {
	if order := strings.Compare(name.Member, other.Member); order != 0 {
		return order
	}
	return strings.Compare(name.Class, other.Class)
}
