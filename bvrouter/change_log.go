package bvrouter

// loggedChanges is how many changes a host remembers for those that follow it: some
// seconds of them while a whole service is replaced.
const loggedChanges = 4096

// changeLog remembers which entries of a list changed last, and at which point of the
// platform's history. The zero value remembers none.
type changeLog struct {
	base    int64 // all changes after it are in the log
	changes []loggedChange
}

type loggedChange struct {
	at   int64
	name string
}

// restart forgets all changes: the list was read whole at a point.
func (log *changeLog) restart(at int64) { *log = changeLog{base: at} }

// note adds a change. Points never go back.
func (log *changeLog) note(at int64, name string) {
	if len(log.changes) >= loggedChanges {
		half := len(log.changes) / 2
		log.base = log.changes[half-1].at
		log.changes = append([]loggedChange(nil), log.changes[half:]...)
	}
	log.changes = append(log.changes, loggedChange{at, name})
}

// since returns the names of entries that changed after a point, each once. It reports
// false where some of these changes are forgotten.
func (log *changeLog) since(after int64) (names []string, known bool) {
	if after < log.base {
		return nil, false
	}
	seen := make(map[string]bool)
	for i := len(log.changes) - 1; i >= 0 && log.changes[i].at > after; i-- {
		if name := log.changes[i].name; !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return names, true
}
