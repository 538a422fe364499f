// Package bvexplain reads the structured logs of daemons and reports the outcomes of
// requests and programs by route, second, host and cause, and the parts of their
// latency.
//
// A line may have text before its JSON object, as log collectors add it; its last
// word is taken as the name of the host, and its first word, if it is a number, as
// the time in seconds. Unreadable lines are counted and skipped. Memory is bounded:
// above the limit of programs, the program that was idle for longest is evicted and
// counted as ended.
//
// # Usage
//
//	account := bvexplain.New(bvexplain.Options{})
//	err := account.Read(reader) // call it once for each file
//	err = account.Print(os.Stdout)
//
// # Figures
//
// Times are in milliseconds and come from the fields of the lines
// (docs/OPERATIONS.md). A request's time is split into the wait on the host (for
// budget, conversation and choice of an endpoint), the wait at the endpoint for the
// first event or the answer, the stream of events, and the time to persist the turn.
// A program whose last line is a failure counts as failed by the cause of that line,
// although its caller may have retried at a host whose logs were not read.
//
// An endpoint counts as left from the first line of any host that reports it as leaving or
// removed, unless a later line lists it again. The clocks of hosts differ, and so do the
// times between their lines.
//
// A resumed stream is joined to the line of the attempt that brought its first event, which its
// client names. It mixes versions if the endpoints of the two lines differ in their software
// version.
//
// A crash is missed if a call broke at an endpoint that some host found lost, and no host
// counts it against the request.
package bvexplain

import (
	"bufio"
	"fmt"
	"io"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// defaultPrograms bounds the programs in memory: 140,000 is the number
	// that the system is designed for.
	defaultMaxPrograms = 140_000
	// longestLine bounds the length of a line; lines of daemons have some 300 bytes.
	maxLineBytes = 1 << 20
	// mostBroken is the number of unreadable lines that are printed.
	maxUnreadableExamples = 5
)

// Options select the lines that are counted. The zero value selects all.
type Options struct {
	From, To float64 // range of the lines' times in seconds, To excluded; To 0: no end
	Request  string  // print the lines of this request or program, in order
	Programs int     // bound of the programs in memory; 0: 140,000
}

// Account sums up the lines that were read. Make one with New.
type Account struct {
	options            Options
	lines              int
	unreadableExamples []string // the first unreadable lines
	unreadableLines    int

	routes       table
	seconds      table
	hosts        table
	causes       map[string]*cause
	endCauses    map[string]*cause // programs by the cause of their last line
	programs     *simplelru.LRU[string, *program]
	programCount int
	events       []event // of processes
	departures   departures
	crashes      crashes
	streams      streams
	matchedLines []string
}

// New returns an empty account.
func New(options Options) *Account {
	if options.Programs <= 0 {
		options.Programs = defaultMaxPrograms
	}
	account := &Account{
		options: options, routes: table{}, seconds: table{}, hosts: table{},
		causes: make(map[string]*cause), endCauses: make(map[string]*cause),
	}
	account.programs, _ = simplelru.NewLRU(options.Programs, func(_ string, program *program) { account.countEnded(program) })
	return account
}

// Read reads one log. It returns only errors of the reader; unreadable lines are
// counted.
func (account *Account) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		account.lines++
		line, err := parse(scanner.Bytes())
		if err != nil {
			account.addUnreadable(err)
			continue
		}
		account.addLine(line, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("explain: after line %d: %w", account.lines, err)
	}
	return nil
}

func (account *Account) addUnreadable(err error) {
	account.unreadableLines++
	if len(account.unreadableExamples) < maxUnreadableExamples {
		account.unreadableExamples = append(account.unreadableExamples, fmt.Sprintf("line %d: %v", account.lines, err))
	}
}

// addLine counts one line.
func (account *Account) addLine(line *line, text string) {
	if line.at < account.options.From || account.options.To > 0 && line.at >= account.options.To {
		return
	}
	if wanted := account.options.Request; wanted != "" && (line.Request == wanted || isProgram(line.Program, wanted)) {
		account.matchedLines = append(account.matchedLines, text)
	}
	account.departures.add(line)
	account.crashes.add(line)
	account.streams.add(line)
	if !line.isRequest() {
		account.addEvent(line)
		return
	}
	account.routes.row(line.Route).add(line)
	account.seconds.row(fmt.Sprintf("%8.0f", line.second())).add(line)
	account.hosts.row(line.host).add(line)
	if line.Error != "" {
		addCause(account.causes, line.cause(), line)
	}
	account.addToProgram(line)
}
