package bvledger

import (
	"cmp"
	"fmt"
	"net/url"
	"strings"
)

// The tables of the platform that hold program state.
const (
	HeadTable    = "program/"
	AccountTable = "account/"
	TurnTable    = "turn/"
	OnceTable    = "once/"
)

// HeadKey returns the key of the program's head row.
func HeadKey(key ProgramKey) string {
	return HeadTable + keyPath(key)
}

// AccountKey returns the key of the row that records how much the program and its
// sub-agents have drawn from its budget.
func AccountKey(key ProgramKey) string {
	return AccountTable + keyPath(key)
}

// TurnPrefix returns the common prefix of the keys of all the program's turn rows.
func TurnPrefix(key ProgramKey) string {
	return TurnTable + keyPath(key) + "/"
}

// TurnKey returns the key of one turn row. Keys sort in the order of the turns.
func TurnKey(key ProgramKey, turn int) string {
	return fmt.Sprintf("%s%08d", TurnPrefix(key), turn)
}

// OnceKey returns the key of the once record of an unrepeatable request.
func OnceKey(key ProgramKey, request string) string {
	return OnceTable + keyPath(key) + "/" + url.PathEscape(request)
}

// keyPath joins the names of the member and the program and escapes the separator in
// them. Without the escape, program "b/c" of member "a" and program "c" of member "a/b"
// would share their rows, and one member would read the other's history. The escape is
// reversible, so different names never map to the same key.
func keyPath(key ProgramKey) string {
	return url.PathEscape(key.Member) + "/" + url.PathEscape(key.Program)
}

func unescapeKey(member, program string) (ProgramKey, bool) {
	memberName, err := url.PathUnescape(member)
	if err != nil {
		return ProgramKey{}, false
	}
	programName, err := url.PathUnescape(program)
	if err != nil {
		return ProgramKey{}, false
	}
	return ProgramKey{Member: memberName, Program: programName}, true
}

func compareKeys(a, b ProgramKey) int {
	return cmp.Or(strings.Compare(a.Member, b.Member), strings.Compare(a.Program, b.Program))
}
