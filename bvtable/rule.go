package bvtable

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"balsamvalve.example/bvclock"
)

// ShareTotal is the required sum of the members' shares, in percent.
const ShareTotal = 100

// shareTolerance allows for decimal fractions such as 33.33 that have no exact binary
// representation.
const shareTolerance = 1e-6

// Limits of a cell's value.
const (
	maxPriority = 1000
	maxIdle     = 90 * 24 * bvclock.Hour
	maxName     = 100 // characters of a member or class
)

// namePattern excludes slashes, which separate the parts of a row's key in the store, and
// spaces, which separate list entries.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Problem describes a cell that breaks a rule.
type Problem struct {
	Row    string `json:"row"`  // member, or member/class
	Cell   string `json:"cell"` // name of the column
	Reason string `json:"reason"`
}

// String formats the problem as one line.
func (problem Problem) String() string {
	return fmt.Sprintf("row %s, cell %s: %s", problem.Row, problem.Cell, problem.Reason)
}

// InvalidError lists every problem of a table or an edit.
type InvalidError struct {
	Problems []Problem
}

// Error implements error.
func (err *InvalidError) Error() string {
	lines := make([]string, len(err.Problems))
	for i, problem := range err.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "; ")
}

// Catalog lists the models and services on the platform's list of endpoints. An empty list
// means that they are unknown, and disables the check.
type Catalog struct {
	Models   []string
	Services []string
}

// Validate checks each row and the rules that span rows. It returns an *InvalidError that
// names every invalid cell, or nil.
func Validate(rows []Row, catalog Catalog) error {
	validation := validation{catalog: catalog}
	for i := range rows {
		validation.checkRow(&rows[i])
	}
	validation.checkNames(rows)
	validation.checkShares(rows)
	if len(validation.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: validation.problems}
}

type validation struct {
	catalog  Catalog
	problems []Problem
}

func (validation *validation) report(name RowName, column Column, reason string, args ...any) {
	validation.problems = append(validation.problems, Problem{
		Row:    name.String(),
		Cell:   column.String(),
		Reason: fmt.Sprintf(reason, args...),
	})
}

func (validation *validation) checkRow(row *Row) {
	validation.checkNotNegative(row, Rate, row.Rate)
	validation.checkNotNegative(row, Concurrency, float64(row.Concurrency))
	validation.checkNotNegative(row, Budget, float64(row.Budget))
	validation.checkNotNegative(row, Turns, float64(row.Turns))
	validation.checkNotNegative(row, Idle, float64(row.Idle))
	if row.Priority < -maxPriority || row.Priority > maxPriority {
		validation.report(row.Name(), Priority, "%d is not between %d and %d", row.Priority, -maxPriority, maxPriority)
	}
	if row.Idle > maxIdle {
		validation.report(row.Name(), Idle, "%s is longer than %s", row.Idle.Std(), maxIdle.Std())
	}
	if row.Class != "" && row.Share != 0 {
		validation.report(row.Name(), Share, "only a member's own row has a share, not a class")
	}
	validation.checkKnown(row.Name(), Models, "model", row.Models, validation.catalog.Models)
	validation.checkKnown(row.Name(), Services, "service", row.Services, validation.catalog.Services)
}

func (validation *validation) checkNotNegative(row *Row, column Column, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		validation.report(row.Name(), column, "%s is not zero or more", row.Cell(column))
	}
}

func (validation *validation) checkKnown(name RowName, column Column, noun string, values, known []string) {
	for i, value := range values {
		if slices.Contains(values[:i], value) {
			validation.report(name, column, "%s %s stands twice", noun, value)
		}
		if len(known) > 0 && !slices.Contains(known, value) {
			validation.report(name, column, "unknown %s %s", noun, value)
		}
	}
}

func (validation *validation) checkNames(rows []Row) {
	seen := make(map[RowName]bool, len(rows))
	for i := range rows {
		name := rows[i].Name()
		if !validName(name.Member) || name.Class != "" && !validName(name.Class) {
			validation.report(name, Presence, "names may have letters, digits, dots, underscores and hyphens only, at most %d", maxName)
		}
		if seen[name] {
			validation.report(name, Presence, "the row stands twice")
		}
		seen[name] = true
	}
	for i := range rows {
		name := rows[i].Name()
		if name.Class != "" && !seen[RowName{Member: name.Member}] {
			validation.report(name, Presence, "member %s has no row of its own", name.Member)
		}
	}
}

func validName(name string) bool {
	return len(name) <= maxName && namePattern.MatchString(name)
}

func (validation *validation) checkShares(rows []Row) {
	var total float64
	var own []*Row
	for i := range rows {
		if rows[i].Class != "" {
			continue
		}
		own = append(own, &rows[i])
		total += rows[i].Share
		if rows[i].Share <= 0 {
			validation.report(rows[i].Name(), Share, "%s is not more than zero", rows[i].Cell(Share))
		}
	}
	if len(own) > 0 && math.Abs(total-ShareTotal) > shareTolerance {
		for _, row := range own {
			validation.report(row.Name(), Share, "the members' shares add up to %s, not %d", formatFloat(total), ShareTotal)
		}
	}
}
