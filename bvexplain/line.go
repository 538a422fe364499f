package bvexplain

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// line is one line of a daemon's log. Its fields are those of the log; a field
// that is not there is zero.
type line struct {
	Message  string    `json:"msg"`
	Level    string    `json:"level"`
	Time     time.Time `json:"time"`
	Host     string    `json:"host"`
	Request  string    `json:"request"`
	Program  string    `json:"program"`
	Route    string    `json:"route"`
	Error    string    `json:"error"`
	Endpoint string    `json:"endpoint"`
	Sends    int       `json:"sends"`
	Took     int64     `json:"took_ms"`
	Sent     int64     `json:"sent_ms"`
	First    int64     `json:"first_ms"`
	Kept     int64     `json:"kept_ms"`
	Events   int       `json:"events"`
	Prompt   int       `json:"prompt"`
	Cached   int       `json:"cached"`

	at   float64 // when it was written, in seconds
	host string
}

var errNoObject = errors.New("no JSON object")

// parse reads a line.
func parse(text []byte) (*line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return nil, errNoObject
	}
	var line line
	if err := json.Unmarshal(text[start:], &line); err != nil {
		return nil, err
	}
	line.host = line.Host
	line.at = float64(line.Time.UnixMilli()) / 1000
	before := strings.Fields(string(text[:start]))
	if len(before) > 0 {
		line.host = before[len(before)-1]
		if at, err := strconv.ParseFloat(before[0], 64); err == nil {
			line.at = at
		}
	}
	return &line, nil
}

// ofRequest reports whether the line tells the end of a request.
func (line *line) ofRequest() bool { return strings.HasPrefix(line.Message, "request ") }

func (line *line) second() float64 { return math.Floor(line.at) }

// notRun marks, in an error, a request that has not run.
const notRun = "(not run)"

func (line *line) refused() bool { return strings.Contains(line.Error, notRun) }

// names are what differs between errors of one cause: ids, addresses and numbers.
var names = regexp.MustCompile(`\bi-[0-9a-f]+\b|\b[0-9a-f]{8,}\b|\b\d+(\.\d+)*(:\d+)?(ms|s)?\b`)

// longestCause bounds the text of a cause: what was behind it is left out.
const longestCause = 100

// cause is the error without what differs between requests.
func (line *line) cause() string {
	text := names.ReplaceAllString(line.Error, "N")
	if len(text) > longestCause {
		text = text[:longestCause]
	}
	return text
}
