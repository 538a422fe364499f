package bvendpoint

// SpendBudget uses up the client's retry budget.
func (client *Client) SpendBudget() {
	for client.budget.spend() {
		continue
	}
}

// Body returns the encoded request of the call.
func (call ChatCall) Body() ([]byte, error) { return call.body() }
