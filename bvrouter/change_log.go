package bvrouter

// maxLoggedChanges is the number of changes that a host retains for the hosts that query
// it: those of some seconds while a complete service is replaced.
const maxLoggedChanges = 4096

// changeLog records which entries of a list changed recently, with the platform's change
// sequence numbers. The zero value is an empty log.
type changeLog struct {
	base    int64 // sequence number after which the log has all changes
	changes []loggedChange
}

type loggedChange struct {
	sequence int64
	name     string
}

// reset clears the log after the full list was read at a sequence number.
func (log *changeLog) reset(sequence int64) { *log = changeLog{base: sequence} }

// add records a change. Sequence numbers never decrease.
func (log *changeLog) add(sequence int64, name string) {
	if len(log.changes) >= maxLoggedChanges {
		half := len(log.changes) / 2
		log.base = log.changes[half-1].sequence
		log.changes = append([]loggedChange(nil), log.changes[half:]...)
	}
	log.changes = append(log.changes, loggedChange{sequence, name})
}

// since returns the names of the entries that changed after a sequence number, each once.
// It returns false if the log no longer has all of these changes.
func (log *changeLog) since(after int64) (names []string, known bool) {
	if after < log.base {
		return nil, false
	}
	seen := make(map[string]bool)
	for i := len(log.changes) - 1; i >= 0 && log.changes[i].sequence > after; i-- {
		if name := log.changes[i].name; !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return names, true
}
