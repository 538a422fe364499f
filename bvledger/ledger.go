// Package bvledger keeps the programs that this host owns: the order of their
// calls, their history, their budgets and their unrepeatable requests.
//
// A Ledger is told of events by its methods and asked for what to do by Tick;
// it knows no sockets, no clock and no platform. What must last goes out as
// Commit effects and counts only after Committed said so.
//
// # Usage
//
//	ledger := bvledger.New("host-1/incarnation")
//	ledger.Submit(now, call)
//	for _, effect := range ledger.Tick(now) {
//		switch effect := effect.(type) {
//		case bvledger.Load:     // read rows, then ledger.Loaded(now, key, rows, err)
//		case bvledger.Commit:   // write, then ledger.Committed(now, entry.ID, err)
//		case bvledger.Start:    // run the call, then ledger.Finish(now, call, result)
//		case bvledger.Answer:   // reply
//		case bvledger.Refuse:   // reply
//		}
//	}
package bvledger
