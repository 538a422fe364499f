package bvexplain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	brokenCall = `{"content":"c7","endpoint":"i-1","incarnation":"e1","kind":"without an answer","msg":"call broke at an endpoint","any_query":"q7","request":"r1","route":"look","time":"2026-01-26T09:00:40Z"}`
	lostLine   = `{"broken_calls":0,"incarnation":"e1","msg":"endpoint lost","sign":"unreachable","time":"2026-01-26T09:00:40Z"}`
	crashLine  = `{"content":"c7","crashes":1,"incarnation":"e1","msg":"crash counted","source":"here","time":"2026-01-26T09:00:40Z"}`
	poisonous  = `{"content":"c7","error":"poisonous (not run): the request has crashed several endpoints","msg":"request failed","request":"r2","route":"look","time":"2026-01-26T09:00:41Z"}`
)

// Guards against halves of a crash that two hosts see and that nothing shows.
func TestCrashThatNoHostCountsIsShownAsMissed(t *testing.T) {
	account := read(t, Options{}, "10 host-a "+brokenCall, "11 host-b "+lostLine)
	require.Equal(t, 1, account.crashes.suspects["c7"].missed(account.crashes.lost))
	require.Contains(t, printed(t, account), "requests in flight at crashes: 1")
}

func TestHostsThatCountACrashAreShown(t *testing.T) {
	other := strings.ReplaceAll(crashLine, "e1", "e2")
	account := read(t, Options{}, "10 a "+brokenCall, "10 a "+lostLine, "10 a "+crashLine, "10 b "+crashLine, "10 b "+other, "12 b "+poisonous)
	suspect := account.crashes.suspects["c7"]
	require.Zero(t, suspect.missed(account.crashes.lost))
	require.Equal(t, 1, suspect.hostsThatCountAll(), "the second crash is known to one host only")
	require.Equal(t, 1, suspect.refused)
}

func TestWithdrawnCrashIsShown(t *testing.T) {
	withdrawn := strings.ReplaceAll(crashLine, "crash counted", "crash withdrawn")
	account := read(t, Options{}, "10 a "+brokenCall, "10 a "+crashLine, "11 b "+withdrawn)
	require.Len(t, account.crashes.suspects["c7"].withdrawn, 1)
}

// Guards against lost answers of sound endpoints that are shown as crashes.
func TestBrokenCallAtASoundEndpointIsNotShown(t *testing.T) {
	account := read(t, Options{}, "10 host-a "+brokenCall)
	require.NotContains(t, printed(t, account), "requests in flight at crashes")
}
