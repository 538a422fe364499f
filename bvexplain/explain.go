// Package bvexplain reads the daemons' structured logs and tells how requests and
// programs ended, by kind, second, host and cause, and where their time went.
//
// It reads line by line. A line may have text before its JSON object, as log
// collectors put there; the last word of it is taken as the host's name, and the
// first, if it is a number, as the time in seconds. Lines that can't be read are
// counted and skipped. Memory is bounded: programs beyond the bound are counted as
// ended when others come, those first that were silent for longest.
//
// # Usage
//
//	account := bvexplain.New(bvexplain.Options{})
//	err := account.Read(reader) // one file after the other
//	err = account.Print(os.Stdout)
//
// # What the figures are
//
// Times are in milliseconds and come from the fields of the lines
// (docs/OPERATIONS.md). A request's time is split into waiting here (budget,
// conversation and choice), waiting at the endpoint until the first event or the
// answer, the events, and keeping the turn. A program counts as failed by the cause
// of its last line, if that is a failure; its callers may still have come back to a
// host whose logs were not read.
package bvexplain

import (
	"bufio"
	"fmt"
	"io"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// defaultPrograms bounds the programs that are remembered at once: the 140,000
	// to design for.
	defaultPrograms = 140_000
	// longestLine bounds a line, in bytes; the daemons' have some 300.
	longestLine = 1 << 20
	// mostBroken is how many lines that can't be read are shown.
	mostBroken = 5
)

// Options choose what is counted. The zero value counts all.
type Options struct {
	From, To float64 // seconds, of lines that tell their time; To 0 means no end
	Request  string  // show the lines of this request or program, in their order
	Programs int     // remembered at once; 0 means 140,000
}

// Account is what was read. Make one with New.
type Account struct {
	options  Options
	lines    int
	brokenAt []string // the first lines that could not be read
	broken   int

	kinds    table
	seconds  table
	hosts    table
	causes   map[string]*cause
	ended    map[string]*cause // programs by the cause of their last line
	programs *simplelru.LRU[string, *program]
	begun    int
	events   []event // of the processes
	shown    []string
}

// New returns an empty account.
func New(options Options) *Account {
	if options.Programs <= 0 {
		options.Programs = defaultPrograms
	}
	account := &Account{
		options: options, kinds: table{}, seconds: table{}, hosts: table{},
		causes: make(map[string]*cause), ended: make(map[string]*cause),
	}
	account.programs, _ = simplelru.NewLRU(options.Programs, func(_ string, program *program) { account.end(program) })
	return account
}

// Read takes in one log. The error is the reader's; lines that can't be read are no
// error.
func (account *Account) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 64<<10), longestLine)
	for scanner.Scan() {
		account.lines++
		line, err := parse(scanner.Bytes())
		if err != nil {
			account.noteBroken(err)
			continue
		}
		account.take(line, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("explain: after line %d: %w", account.lines, err)
	}
	return nil
}

func (account *Account) noteBroken(err error) {
	account.broken++
	if len(account.brokenAt) < mostBroken {
		account.brokenAt = append(account.brokenAt, fmt.Sprintf("line %d: %v", account.lines, err))
	}
}

// take counts one line.
func (account *Account) take(line *line, text string) {
	if line.at < account.options.From || account.options.To > 0 && line.at >= account.options.To {
		return
	}
	if wanted := account.options.Request; wanted != "" && (line.Request == wanted || isProgram(line.Program, wanted)) {
		account.shown = append(account.shown, text)
	}
	if !line.ofRequest() {
		account.noteEvent(line)
		return
	}
	account.kinds.row(line.Route).add(line)
	account.seconds.row(fmt.Sprintf("%8.0f", line.second())).add(line)
	account.hosts.row(line.host).add(line)
	if line.Error != "" {
		noteCause(account.causes, line.cause(), line)
	}
	account.takeProgram(line)
}
