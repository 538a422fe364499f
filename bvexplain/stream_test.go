package bvexplain

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	beganAtV1 = `{"endpoint":"i-1","endpoint_version":"v1","error":"endpoint_failed (may have run): the stream broke off","events":7,` +
		`"msg":"request failed","request":"r1","route":"talk","sends":1,"stream":"new","time":"2026-01-26T09:00:40Z"}`
	wentOnAtV2 = `{"endpoint":"i-2","endpoint_version":"v2","events":3,"last_event":"7","msg":"request answered","open_versions":{"v1":3,"v2":4},` +
		`"request":"r2","resumes":"r1","route":"talk","sends":1,"stream":"resumed","time":"2026-01-26T09:00:41Z"}`
	wentOnAtV1 = `{"endpoint":"i-3","endpoint_version":"v1","events":3,"last_event":"7","msg":"request answered",` +
		`"hosts_answered":11,"hosts_asked":11,"known_from":"host-c","known_ms":240,"known_version":"v1","request":"r3","resumes":"r1","route":"talk","sends":1,"stream":"resumed","time":"2026-01-26T09:00:42Z"}`
	notResumed = `{"error":"overloaded (not run): no endpoint","hosts_answered":2,"hosts_asked":3,"last_event":"2","msg":"request failed",` +
		`"request":"r5","resumes":"r4","route":"talk","sends":0,"stream":"resumed","time":"2026-01-26T09:00:42Z"}`
)

func TestStreamOfTwoVersionsIsReported(t *testing.T) {
	text := printed(t, read(t, Options{}, wentOnAtV1, wentOnAtV2, beganAtV1))
	require.Contains(t, text, "streams that began: 1 of 1 (100 %); that were resumed and went on: 2 of 2 (100 %), 1 of them at another software version")
	require.Contains(t, text, "v1 from host-c, 240 ms old")
	require.Regexp(t, `r1 +, i-1 \(v1\) +r2 +, i-2 \(v2\) +nothing, 0 of 0 hosts answered +map\[v1:3 v2:4\] 3 events\nr1 .*r3`, text)
}

func TestResumedStreamWhoseBeginIsUnknownIsReported(t *testing.T) {
	text := printed(t, read(t, Options{}, "1.0 host-a "+notResumed))
	require.Contains(t, text, "went on: 0 of 1 (0 %), 0 of them at another software version; begin not in the logs: 1")
	require.Regexp(t, `r4 +not in the logs +r5 +host-a, not sent +nothing, 2 of 3 hosts answered +map\[\] overloaded`, text)
}
