package bvfront

import (
	"context"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvforward"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvsuspect"
)

// checkedEndpoints are endpoints whose checks have given results.
type checkedEndpoints struct {
	Endpoints
	results []bvforward.Liveness // of the next checks
	checks  int
	proceed chan struct{} // closed when checks after the first may end
}

func (endpoints *checkedEndpoints) Check(context.Context, bvplatform.Endpoint) bvforward.Liveness {
	endpoints.checks++
	if endpoints.checks > 1 {
		<-endpoints.proceed
	}
	result := endpoints.results[0]
	endpoints.results = endpoints.results[1:]
	return result
}

// recordedChecks records the results of checks.
type recordedChecks struct {
	Suspects
	mutex   sync.Mutex
	results []bvforward.Liveness
}

func (checks *recordedChecks) RecordCheck(_ bvsuspect.BrokenCall, result bvforward.Liveness) {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	checks.results = append(checks.results, result)
}

func (checks *recordedChecks) recorded() []bvforward.Liveness {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	return slices.Clone(checks.results)
}

// checkResults checks an endpoint whose checks have given results. It returns what is recorded,
// and how much of it before a call is sent on.
func checkResults(results ...bvforward.Liveness) (recorded []bvforward.Liveness, beforeNextSend, unused int) {
	endpoints, checks := &checkedEndpoints{results: results, proceed: make(chan struct{})}, &recordedChecks{}
	front := &Front{parts: Parts{Endpoints: endpoints, Suspects: checks}}
	check := front.checkEndpoint(bvsuspect.BrokenCall{}, bvplatform.Endpoint{})
	<-check.first
	beforeNextSend = len(checks.recorded())
	close(endpoints.proceed)
	<-check.last
	return checks.recorded(), beforeNextSend, len(endpoints.results)
}

// Guards against a crash that is not detected, since the endpoint still accepted a connection.
func TestEndpointThatEndsAfterTheFirstCheckIsDetected(t *testing.T) {
	for _, results := range [][]bvforward.Liveness{
		{bvforward.Running, bvforward.Refused},
		{bvforward.Running, bvforward.Running, bvforward.Refused},
		{bvforward.Unknown, bvforward.Refused},
	} {
		recorded, _, unused := checkResults(results...)
		require.Equal(t, slices.Compact(results), recorded)
		require.Zero(t, unused)
	}
}

func TestCallIsSentOnAfterTheFirstCheck(t *testing.T) {
	_, beforeNextSend, _ := checkResults(bvforward.Running, bvforward.Running, bvforward.Refused)
	require.Equal(t, 1, beforeNextSend)
}

func TestEndpointThatHasEndedIsNotCheckedAgain(t *testing.T) {
	recorded, _, unused := checkResults(bvforward.Refused, bvforward.Running, bvforward.Running)
	require.Equal(t, []bvforward.Liveness{bvforward.Refused}, recorded)
	require.Equal(t, 2, unused)
}

func TestSameResultOfChecksIsRecordedOnce(t *testing.T) {
	recorded, _, unused := checkResults(bvforward.Running, bvforward.Running, bvforward.Running)
	require.Equal(t, []bvforward.Liveness{bvforward.Running}, recorded)
	require.Zero(t, unused)
}
