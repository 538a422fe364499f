package bvtable

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvverdict"
)

//go:generate stringer -type=ProposalState -linecomment -output=proposalstate_string.go

// ProposalState is the state of a proposal.
type ProposalState int

// The states of a proposal.
const (
	Open     ProposalState = iota // open
	Accepted                      // accepted
	Outdated                      // outdated
)

// MarshalText implements encoding.TextMarshaler.
func (state ProposalState) MarshalText() ([]byte, error) {
	return []byte(state.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (state *ProposalState) UnmarshalText(text []byte) error {
	for known := Open; known <= Outdated; known++ {
		if known.String() == string(text) {
			*state = known
			return nil
		}
	}
	return fmt.Errorf("table: unknown state of a proposal %q", text)
}

// Proposal is a change of shares that needs the other members' consent. A member that is new
// in Shares joins; one whose share becomes 0 leaves, and its rows are removed.
type Proposal struct {
	ID       string        `json:"id"`
	Member   string        `json:"member"` // member whose operator proposed it
	At       time.Time     `json:"at"`
	Before   []MemberShare `json:"before"` // shares in force when the proposal was made
	Shares   []MemberShare `json:"shares"`
	Consents []string      `json:"consents,omitempty"` // members, in the order of acceptance
	State    ProposalState `json:"state"`
}

// MissingConsents returns the members whose consent is missing.
func (proposal *Proposal) MissingConsents() []string {
	if proposal.State != Open {
		return nil
	}
	var members []string
	for _, share := range slices.Concat(proposal.Before, proposal.Shares) {
		skip := share.Member == proposal.Member ||
			slices.Contains(proposal.Consents, share.Member) ||
			slices.Contains(members, share.Member)
		if !skip {
			members = append(members, share.Member)
		}
	}
	return members
}

// Propose records a change of shares. It takes effect immediately when no other member's
// consent is needed.
func (editor *Editor) Propose(ctx context.Context, actor Actor, attempt string, shares []MemberShare) (Proposal, Report, error) {
	started := editor.Follower.Clock.Now()
	var proposal Proposal
	change, err := editor.write(ctx, actor, attempt, func(_ context.Context, table *Table) (draft, error) {
		if err := checkProposal(actor, table, shares); err != nil {
			return draft{}, err
		}
		proposal = Proposal{
			ID:     "p" + strconv.FormatInt(table.version+1, 10),
			Member: actor.Member,
			At:     time.Now().UTC(),
			Before: table.Shares(),
			Shares: slices.Clone(shares),
		}
		return proposalDraft(table, &proposal, 0, "proposed")
	})
	if err != nil {
		return Proposal{}, Report{}, err
	}
	if proposal, err = editor.resolveProposal(ctx, proposal, change); err != nil {
		return Proposal{}, Report{}, err
	}
	return proposal, editor.pushChange(ctx, started, change), nil
}

// Accept records the consent of the actor's member. The last consent puts the shares in
// force.
func (editor *Editor) Accept(ctx context.Context, actor Actor, attempt, id string) (Proposal, Report, error) {
	started := editor.Follower.Clock.Now()
	var proposal Proposal
	change, err := editor.write(ctx, actor, attempt, func(ctx context.Context, table *Table) (draft, error) {
		found, version, err := editor.readProposal(ctx, table, id)
		if err != nil {
			return draft{}, err
		}
		proposal = found
		if actor.Role != bvkey.Operator {
			return draft{}, bvverdict.Refuse(bvverdict.Forbidden, "a key of role %s accepts no proposal", actor.Role)
		}
		if slices.Contains(proposal.Consents, actor.Member) {
			return draft{}, nil // the consent is recorded already
		}
		if proposal.State == Outdated {
			return draft{}, bvverdict.Refuse(bvverdict.Conflict, "the shares have changed since %s was proposed", id)
		}
		if !slices.Contains(proposal.MissingConsents(), actor.Member) {
			return draft{}, bvverdict.Refuse(bvverdict.Forbidden, "%s does not await the consent of %s", id, actor.Member)
		}
		proposal.Consents = append(proposal.Consents, actor.Member)
		return proposalDraft(table, &proposal, version, "accepted by "+actor.Member)
	})
	if err != nil {
		return Proposal{}, Report{}, err
	}
	if proposal, err = editor.resolveProposal(ctx, proposal, change); err != nil {
		return Proposal{}, Report{}, err
	}
	return proposal, editor.pushChange(ctx, started, change), nil
}

// Proposals returns all proposals, ordered by id.
func (editor *Editor) Proposals(ctx context.Context) ([]Proposal, error) {
	table, err := editor.Get(ctx)
	if err != nil {
		return nil, err
	}
	var proposals []Proposal
	for after := ""; ; {
		rows, err := editor.Store.Scan(ctx, proposalPrefix, after, rowsPerScan)
		if err != nil {
			return nil, unavailableError(err)
		}
		for _, row := range rows {
			proposal, err := decodeProposal(table, row)
			if err != nil {
				return nil, err
			}
			proposals = append(proposals, proposal)
		}
		if len(rows) < rowsPerScan {
			return proposals, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// resolveProposal returns the proposal that the change refers to. That differs from the given
// one if an earlier send of the same attempt created the change.
func (editor *Editor) resolveProposal(ctx context.Context, proposal Proposal, change Change) (Proposal, error) {
	if change.Proposal == "" || change.Proposal == proposal.ID {
		return proposal, nil
	}
	proposal, _, err := editor.readProposal(ctx, editor.Follower.Snapshot(), change.Proposal)
	return proposal, err
}

func (editor *Editor) readProposal(ctx context.Context, table *Table, id string) (Proposal, int64, error) {
	rows, err := editor.Store.Read(ctx, proposalKey(id))
	if err != nil {
		return Proposal{}, 0, unavailableError(err)
	}
	if rows[0].Version == 0 {
		return Proposal{}, 0, bvverdict.Refuse(bvverdict.BadRequest, "there is no proposal %s", id)
	}
	proposal, err := decodeProposal(table, rows[0])
	return proposal, rows[0].Version, err
}

// decodeProposal marks an open proposal as outdated if the shares have changed since: members
// consent to a change of the shares that they saw.
func decodeProposal(table *Table, row bvplatform.Row) (Proposal, error) {
	var proposal Proposal
	if err := json.Unmarshal(row.Value, &proposal); err != nil {
		return Proposal{}, fmt.Errorf("table: %s: %w", row.Key, err)
	}
	if proposal.State == Open && !slices.Equal(proposal.Before, table.Shares()) {
		proposal.State = Outdated
	}
	return proposal, nil
}

func checkProposal(actor Actor, table *Table, shares []MemberShare) error {
	if actor.Role != bvkey.Operator {
		return bvverdict.Refuse(bvverdict.Forbidden, "a key of role %s proposes no shares", actor.Role)
	}
	var problems []Problem
	report := func(member, reason string, args ...any) {
		problems = append(problems, Problem{Row: member, Cell: Share.String(), Reason: fmt.Sprintf(reason, args...)})
	}
	given := make(map[string]bool)
	total := 0.0
	for _, share := range shares {
		if !validName(share.Member) {
			report(share.Member, "is not a member's name")
		}
		if given[share.Member] {
			report(share.Member, "stands twice")
		}
		if share.Share < 0 || math.IsNaN(share.Share) {
			report(share.Member, "%s is not zero or more", formatFloat(share.Share))
		}
		given[share.Member] = true
		total += share.Share
	}
	for _, share := range table.Shares() {
		if !given[share.Member] {
			report(share.Member, "is missing; give 0 for a member that leaves")
		}
		given[share.Member] = true
	}
	if math.Abs(total-ShareTotal) > shareTolerance {
		report("", "the shares add up to %s, not %d", formatFloat(total), ShareTotal)
	}
	if !given[actor.Member] {
		return bvverdict.Refuse(bvverdict.Forbidden, "%s is neither a member nor in the proposal", actor.Member)
	}
	if len(problems) > 0 {
		return invalidError(&InvalidError{Problems: problems})
	}
	return nil
}

// proposalDraft records the proposal, and puts its shares in force when no consent is
// missing. The proposal's row, the shares and the counter change in one transaction, so that
// the shares always match the recorded consents.
func proposalDraft(table *Table, proposal *Proposal, version int64, note string) (draft, error) {
	draft := draft{proposal: proposal.ID, note: note}
	if len(proposal.MissingConsents()) == 0 {
		proposal.State = Accepted
		draft.cells = shareCells(table, proposal.Shares)
	}
	content, err := json.Marshal(proposal)
	if err != nil {
		return draft, invalidError(err)
	}
	key := proposalKey(proposal.ID)
	draft.checks = []bvplatform.Check{{Key: key, Version: version}}
	draft.puts = []bvplatform.Put{{Key: key, Value: content}}
	return draft, nil
}

func shareCells(table *Table, shares []MemberShare) []Cell {
	var cells []Cell
	for _, share := range shares {
		name := RowName{Member: share.Member}
		_, found := table.ExactRow(name)
		switch {
		case !found && share.Share > 0:
			cells = append(cells, Cell{Member: share.Member, Column: Presence, Old: Absent, New: Present})
		case found && share.Share == 0:
			cells = append(cells, memberRemovalCells(table, share.Member)...)
			continue
		}
		cell := Cell{Member: share.Member, Column: Share, Old: table.CellText(name, Share), New: formatFloat(share.Share)}
		if cell.Old != cell.New {
			cells = append(cells, cell)
		}
	}
	return cells
}

func memberRemovalCells(table *Table, member string) []Cell {
	var cells []Cell
	for _, row := range table.rows {
		if row.Member == member {
			cells = append(cells, removalCells(table, row.Name())...)
		}
	}
	return cells
}
