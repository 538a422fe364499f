package bvtable

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"balsamvalve.example/bvclock"
)

//go:generate stringer -type=Column -linecomment -output=column_string.go

// Column names a column of the table.
type Column int

// The columns. Presence is not printed; its cell states whether the row exists.
const (
	Presence    Column = iota // row
	Share                     // share
	Priority                  // priority
	Rate                      // rate
	Concurrency               // concurrency
	Budget                    // budget
	Turns                     // turns
	Idle                      // idle
	Models                    // models
	Services                  // services
)

// The texts of a Presence cell.
const (
	Present = "present"
	Absent  = "absent"
)

// Columns returns the printed columns in display order.
func Columns() []Column {
	columns := make([]Column, 0, Services)
	for column := Share; column <= Services; column++ {
		columns = append(columns, column)
	}
	return columns
}

// ParseColumn returns the column with the given name.
func ParseColumn(name string) (Column, error) {
	for column := Presence; column <= Services; column++ {
		if column.String() == name {
			return column, nil
		}
	}
	return Presence, fmt.Errorf("there is no column %q", name)
}

// MarshalText implements encoding.TextMarshaler.
func (column Column) MarshalText() ([]byte, error) {
	return []byte(column.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (column *Column) UnmarshalText(text []byte) (err error) {
	*column, err = ParseColumn(string(text))
	return err
}

// Cell returns the canonical text of a cell: equal values have equal texts.
func (row *Row) Cell(column Column) string {
	switch column {
	case Presence:
		return Present
	case Share:
		return formatFloat(row.Share)
	case Priority:
		return strconv.Itoa(row.Priority)
	case Rate:
		return formatFloat(row.Rate)
	case Concurrency:
		return strconv.Itoa(row.Concurrency)
	case Budget:
		return strconv.FormatInt(row.Budget, 10)
	case Turns:
		return strconv.Itoa(row.Turns)
	case Idle:
		return formatDuration(row.Idle)
	case Models:
		return strings.Join(row.Models, " ")
	case Services:
		return strings.Join(row.Services, " ")
	}
	return ""
}

// SetCell parses text into a cell; empty text means the column's zero value.
func (row *Row) SetCell(column Column, text string) (err error) {
	text = strings.TrimSpace(text)
	switch column {
	case Share:
		row.Share, err = parseFloat(text)
	case Priority:
		row.Priority, err = parseInt(text)
	case Rate:
		row.Rate, err = parseFloat(text)
	case Concurrency:
		row.Concurrency, err = parseInt(text)
	case Budget:
		row.Budget, err = parseInt64(text)
	case Turns:
		row.Turns, err = parseInt(text)
	case Idle:
		row.Idle, err = parseDuration(text)
	case Models:
		row.Models = strings.Fields(text)
	case Services:
		row.Services = strings.Fields(text)
	case Presence:
		return fmt.Errorf("is not a value of the row")
	}
	return err
}

func formatFloat(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}

func parseFloat(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return 0, fmt.Errorf("%q is not a number", text)
	}
	return value, nil
}

func parseInt64(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", text)
	}
	return value, nil
}

func parseInt(text string) (int, error) {
	value, err := parseInt64(text)
	if err == nil && (value < math.MinInt32 || value > math.MaxInt32) {
		return 0, fmt.Errorf("%q is out of range", text)
	}
	return int(value), err
}

func formatDuration(duration bvclock.Duration) string {
	if duration == 0 {
		return "0"
	}
	return duration.Std().String()
}

func parseDuration(text string) (bvclock.Duration, error) {
	if text == "" || text == "0" {
		return 0, nil
	}
	std, err := time.ParseDuration(text)
	if err != nil || std%time.Millisecond != 0 {
		return 0, fmt.Errorf("%q is not a duration in whole milliseconds, such as 90s or 15m", text)
	}
	return bvclock.FromStd(std), nil
}
