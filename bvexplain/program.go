package bvexplain

import "strings"

// program is the state of a program after the lines read so far.
type program struct {
	id       string
	requests int
	last     *line
}

// addToProgram counts a line for its program.
func (account *Account) addToProgram(line *line) {
	if line.Program == "" {
		return
	}
	found, known := account.programs.Get(line.Program)
	if !known {
		found = &program{id: line.Program}
		account.programCount++
		account.programs.Add(line.Program, found)
	}
	found.requests++
	if found.last == nil || line.at >= found.last.at {
		found.last = line
	}
}

// answeredCause is the cause of programs whose last line is an answer.
const answeredCause = "answered"

// countEnded counts a program by the cause of its last line.
func (account *Account) countEnded(program *program) {
	name := answeredCause
	if program.last.Error != "" {
		name = program.last.cause()
	}
	addCause(account.endCauses, name, program.last)
}

// cause counts requests or programs that ended for the same reason, with one example.
type cause struct {
	count   int
	example *line
}

func addCause(causes map[string]*cause, name string, example *line) {
	found := causes[name]
	if found == nil && len(causes) >= maxRows {
		name, found = otherRows, causes[otherRows]
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

// reportedMessages are the messages about a process that matter to requests.
var reportedMessages = map[string]bool{
	"started": true, "stopped": true, "leaving: no longer ready": true, "desired state in force": true,
	"store: lost": true, "store: regained": true, "desired state: lost": true, "desired state: regained": true,
	"list of endpoints: lost": true, "list of endpoints: regained": true, "log lines dropped": true,
}

// maxEvents bounds the lines about processes in memory.
const maxEvents = 10_000

func (account *Account) addEvent(line *line) {
	if reportedMessages[line.Message] && len(account.events) < maxEvents {
		account.events = append(account.events, event{line.at, line.host, line.Message})
	}
}

// isProgram reports whether the program of a line is the wanted one. In logs, the id that
// a caller chose follows the name of its workspace.
func isProgram(logged, wanted string) bool {
	return logged == wanted || strings.HasPrefix(logged, "@") && strings.HasSuffix(logged, "/"+wanted)
}
