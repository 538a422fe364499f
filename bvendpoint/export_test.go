package bvendpoint

// SpendBudget leaves nothing of the client's retry budget.
func (client *Client) SpendBudget() {
	for client.budget.take() {
		continue
	}
}

// Body returns the call as it is sent.
func (call ChatCall) Body() ([]byte, error) { return call.body() }
