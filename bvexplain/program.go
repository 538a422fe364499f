package bvexplain

import "strings"

// program is a program as far as its lines were read.
type program struct {
	id       string
	requests int
	last     *line
}

// takeProgram notes a line of a program.
func (account *Account) takeProgram(line *line) {
	if line.Program == "" {
		return
	}
	found, known := account.programs.Get(line.Program)
	if !known {
		found = &program{id: line.Program}
		account.begun++
		account.programs.Add(line.Program, found)
	}
	found.requests++
	if found.last == nil || line.at >= found.last.at {
		found.last = line
	}
}

// endedWell stands for the cause of programs whose last line is an answer.
const endedWell = "answered"

// end counts a program by its last line.
func (account *Account) end(program *program) {
	name := endedWell
	if program.last.Error != "" {
		name = program.last.cause()
	}
	noteCause(account.ended, name, program.last)
}

// cause counts what ended in the same way, with one example.
type cause struct {
	count   int
	example *line
}

func noteCause(causes map[string]*cause, name string, example *line) {
	found := causes[name]
	if found == nil && len(causes) >= mostRows {
		name, found = others, causes[others]
	}
	if found == nil {
		found = &cause{example: example}
		causes[name] = found
	}
	found.count++
}

// event is a line about a process.
type event struct {
	at   float64
	host string
	text string
}

// told are the lines about a process that matter to requests.
var told = map[string]bool{
	"started": true, "stopped": true, "leaving: no longer ready": true, "desired state in force": true,
	"store: lost": true, "store: regained": true, "desired state: lost": true, "desired state: regained": true,
	"list of endpoints: lost": true, "list of endpoints: regained": true, "log lines dropped": true,
}

// mostEvents bounds the lines about processes that are kept.
const mostEvents = 10_000

func (account *Account) noteEvent(line *line) {
	if told[line.Message] && len(account.events) < mostEvents {
		account.events = append(account.events, event{line.at, line.host, line.Message})
	}
}

// isProgram reports whether a program of a line is the wanted one. In logs the id that a
// caller chose comes after its workspace.
func isProgram(logged, wanted string) bool {
	return logged == wanted || strings.HasPrefix(logged, "@") && strings.HasSuffix(logged, "/"+wanted)
}
