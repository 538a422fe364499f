package bvtable

import "balsamvalve.example/bvclock"

// Row is one row of the operators' table: a member, or one class of its
// programs. The class of a member's own row is empty.
type Row struct {
	Member      string
	Class       string
	Share       float64          // of engine work, against the other members; only on a member's own row
	Priority    int              // within the member; higher goes first
	Rate        float64          // calls a second; 0: unbounded
	Concurrency int              // calls at once; 0: unbounded
	Budget      int64            // work units per program; 0: unbounded
	Turns       int              // calls per program; 0: unbounded
	Idle        bvclock.Duration // before a program counts as lost; 0: unbounded
	Models      []string         // allowed models; empty: all
	Services    []string         // allowed services; empty: all
}
