package bvowner

import (
	"context"
	"net/http"

	"balsamvalve.example/bvanswer"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

// runService runs a call of a plain service.
func (session *session) runService(ctx context.Context, permit *bvpermit.Permit) (bvledger.Result, bool) {
	service := session.call.GetService()
	header := make(http.Header)
	if service.GetContentType() != "" {
		header.Set("Content-Type", service.GetContentType())
	}
	ctx, span := bvtrace.Start(ctx, "endpoint")
	span.SetEndpoint(permit.Endpoint())
	answer, err := session.owner.parts.Endpoints.Invoke(ctx, permit.Address(), bvendpoint.ServiceCall{
		Path:         service.GetPath(),
		Method:       service.GetMethod(),
		Body:         service.GetBody(),
		Header:       header,
		Request:      session.call.GetRequest(),
		Unrepeatable: session.call.GetUnrepeatable(),
	})
	span.End(err)
	reportFinish(permit, bvendpoint.ChatResult{}, err)
	if err != nil {
		refusal := bvverdict.From(err)
		retry := refusal.Verdict() == bvverdict.NotRun || !session.call.GetUnrepeatable()
		return bvledger.Result{Err: refusal, Spent: serviceCost}, retry
	}
	encoded, err := bvanswer.Encode(bvanswer.Service{
		Status:      answer.Status,
		ContentType: answer.Header.Get("Content-Type"),
		Body:        answer.Body,
	})
	if err != nil {
		return bvledger.Result{Err: bvverdict.From(err), Spent: serviceCost}, false
	}
	return bvledger.Result{Answer: encoded, Spent: serviceCost}, false
}

func unusedFinish() *bvpeer.PermitFinish {
	return &bvpeer.PermitFinish{Outcome: int32(bvgate.Unused)}
}
