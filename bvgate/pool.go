// Package bvgate decides which request may call which endpoint, and when.
//
// A Pool holds the tables of one pool of endpoints that serve the same model:
// members, endpoints, waiting requests, permits and suspects. One host decides
// for a pool. The pool is told of events by its methods and asked for its
// decisions by Tick; it knows no sockets and no clock, so the daemon, the
// tests and the measurements run the same code.
//
// # Usage
//
//	pool := &bvgate.Pool{}
//	pool.SetMembers(shares)
//	pool.Report(now, bvgate.EndpointReport{Name: "engine-1", Slots: 16})
//	pool.Ask(now, request)
//	for _, effect := range pool.Tick(now) {
//		switch effect := effect.(type) {
//		case bvgate.Grant:
//		case bvgate.Refusal:
//		case bvgate.Release:
//		}
//	}
//	pool.Used(now, request.ID)
//	pool.Finish(now, bvgate.Finish{ID: request.ID, OutputTokens: 120})
package bvgate
