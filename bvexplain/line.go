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

// line is one line of a daemon's log. The exported fields are the fields of the log;
// missing ones are zero.
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
	ListAge  int64     `json:"list_ms"`
	Retained bool      `json:"retained"`
	// The following are fields of lines about streams. The version is that of the endpoint's
	// software.
	Stream          string         `json:"stream"` // new or resumed
	Resumes         string         `json:"resumes"`
	LastEvent       string         `json:"last_event"`
	EndpointVersion string         `json:"endpoint_version"`
	OpenVersions    map[string]int `json:"open_versions"`
	KnownVersion    string         `json:"known_version"`
	KnownFrom       string         `json:"known_from"`
	KnownAge        int64          `json:"known_ms"`
	HostsAsked      int            `json:"hosts_asked"`
	HostsAnswered   int            `json:"hosts_answered"`
	// Endpoints are the names in a line about the list of endpoints.
	Endpoints []string `json:"endpoints"`
	// The following are fields of lines about requests that may crash endpoints: hashes of
	// the request with and without its query, and of the endpoint's start.
	Content     string `json:"content"`
	AnyQuery    string `json:"any_query"`
	Incarnation string `json:"incarnation"`
	Kind        string `json:"kind"`

	at   float64 // time of the line, in seconds
	host string
}

var errNoObject = errors.New("no JSON object")

// parse parses a line, with or without a collector's text before the JSON object.
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

// isRequest reports whether the line states the outcome of a request.
func (line *line) isRequest() bool { return strings.HasPrefix(line.Message, "request ") }

func (line *line) second() float64 { return math.Floor(line.at) }

// notRun is the part of an error that marks a request as not run.
const notRun = "(not run)"

func (line *line) isRefused() bool { return strings.Contains(line.Error, notRun) }

// variableParts matches the parts that differ between errors of one cause: ids,
// addresses and numbers.
var variableParts = regexp.MustCompile(`\bi-[0-9a-f]+\b|\b[0-9a-f]{8,}\b|\b\d+(\.\d+)*(:\d+)?(ms|s)?\b`)

// maxCauseBytes is the length to which the text of a cause is truncated.
const maxCauseBytes = 100

// cause returns the error with the parts replaced that differ between requests.
func (line *line) cause() string {
	text := variableParts.ReplaceAllString(line.Error, "N")
	if len(text) > maxCauseBytes {
		text = text[:maxCauseBytes]
	}
	return text
}
