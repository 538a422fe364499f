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

// HeadKey is the key of the program's head row.
func HeadKey(key ProgramKey) string {
	return HeadTable + path(key)
}

// AccountKey is the key of the row that counts what the program and its
// sub-agents have drawn from its budget.
func AccountKey(key ProgramKey) string {
	return AccountTable + path(key)
}

// TurnPrefix is what the keys of all the program's turn rows begin with.
func TurnPrefix(key ProgramKey) string {
	return TurnTable + path(key) + "/"
}

// TurnKey is the key of one turn row. Keys sort in the order of the turns.
func TurnKey(key ProgramKey, turn int) string {
	return fmt.Sprintf("%s%08d", TurnPrefix(key), turn)
}

// OnceKey is the key of the record of an unrepeatable request.
func OnceKey(key ProgramKey, request string) string {
	return OnceTable + path(key) + "/" + url.PathEscape(request)
}

// path escapes the separator in both names. Without that, program "b/c" of
// member "a" and program "c" of member "a/b" would share their rows, and one
// member would read the other's history. Escaping can be undone, so two
// different names never become one.
func path(key ProgramKey) string {
	return url.PathEscape(key.Member) + "/" + url.PathEscape(key.Program)
}

func unescape(member, program string) (ProgramKey, bool) {
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
