package bvoperator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"balsamvalve.example/bvresponse"
	"balsamvalve.example/bvstatus"
	"balsamvalve.example/bvtable"
	"balsamvalve.example/bvverdict"
)

// maxSends is the number of times that a request is sent when no answer arrives. The
// Idempotency-Key makes all sends of an edit one edit.
const maxSends = 3

// Client reads and edits the table through a host.
type Client struct {
	Address string       // IP and port of the host's HTTP server for operators
	Key     string       // sent as a bearer token
	HTTP    *http.Client // nil: one without a timeout
	TLS     bool         // https instead of http
}

var defaultClient = &http.Client{Transport: bvresponse.NewDefaultTransport()}

// Get returns the part of the table that the key's member may see.
func (client *Client) Get(ctx context.Context) (View, error) {
	var view View
	return view, client.call(ctx, http.MethodGet, "/table", nil, &view)
}

// Status returns the state of hosts, endpoints and members.
func (client *Client) Status(ctx context.Context) (bvstatus.Status, error) {
	var status bvstatus.Status
	return status, client.call(ctx, http.MethodGet, "/status", nil, &status)
}

// Set applies the cell edits entirely or not at all.
func (client *Client) Set(ctx context.Context, cells []bvtable.CellEdit) (Outcome, error) {
	return client.edit(ctx, http.MethodPatch, "/table", bvtable.Edit{Cells: cells})
}

// Propose proposes shares.
func (client *Client) Propose(ctx context.Context, shares []bvtable.MemberShare) (Outcome, error) {
	body := struct {
		Shares []bvtable.MemberShare `json:"shares"`
	}{shares}
	return client.edit(ctx, http.MethodPost, "/table/proposals", body)
}

// Accept consents to a proposal.
func (client *Client) Accept(ctx context.Context, id string) (Outcome, error) {
	return client.edit(ctx, http.MethodPost, "/table/proposals/"+url.PathEscape(id)+"/accept", struct{}{})
}

// Proposals returns all proposals.
func (client *Client) Proposals(ctx context.Context) ([]bvtable.Proposal, error) {
	var proposals []bvtable.Proposal
	return proposals, client.call(ctx, http.MethodGet, "/table/proposals", nil, &proposals)
}

// History returns the newest changes below a version; 0 for the newest changes overall.
func (client *Client) History(ctx context.Context, below int64, limit int) ([]bvtable.Change, error) {
	query := url.Values{}
	query.Set("below", strconv.FormatInt(below, 10))
	query.Set("limit", strconv.Itoa(limit))
	var changes []bvtable.Change
	return changes, client.call(ctx, http.MethodGet, "/table/history?"+query.Encode(), nil, &changes)
}

// Export returns the table as CSV.
func (client *Client) Export(ctx context.Context) ([]byte, error) {
	return client.send(ctx, http.MethodGet, "/table/csv", nil, "")
}

// Import edits all cells in which the CSV differs from its export.
func (client *Client) Import(ctx context.Context, content []byte, remove bool) (Outcome, error) {
	path := "/table/csv?remove=" + strconv.FormatBool(remove)
	return client.editBytes(ctx, http.MethodPut, path, content)
}

func (client *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	content, err := client.send(ctx, method, path, body, "")
	if err != nil {
		return err
	}
	return decode(content, answer)
}

func (client *Client) edit(ctx context.Context, method, path string, body any) (Outcome, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return Outcome{}, fmt.Errorf("operator client: %w", err)
	}
	return client.editBytes(ctx, method, path, content)
}

func (client *Client) editBytes(ctx context.Context, method, path string, body []byte) (Outcome, error) {
	var outcome Outcome
	content, err := client.send(ctx, method, path, body, rand.Text())
	if err != nil {
		return outcome, err
	}
	return outcome, decode(content, &outcome)
}

func decode(content []byte, answer any) error {
	if err := json.Unmarshal(content, answer); err != nil {
		return fmt.Errorf("operator client: decode answer: %w", err)
	}
	return nil
}

// send returns the body of the answer. If no answer arrives, it sends the request again. The
// host may have accepted the edit and crashed before it answered; the attempt identifies the
// resent edit.
func (client *Client) send(ctx context.Context, method, path string, body []byte, attempt string) ([]byte, error) {
	var err error
	for try := range maxSends {
		var response *http.Response
		if response, err = client.sendOnce(ctx, method, path, body, attempt); err != nil {
			continue
		}
		var content []byte
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			continue
		}
		if response.StatusCode != http.StatusOK {
			return nil, decodeFailure(response.StatusCode, content, try > 0)
		}
		return content, nil
	}
	if attempt == "" {
		return nil, fmt.Errorf("operator client: %w", err)
	}
	return nil, fmt.Errorf("operator client: no answer, the edit may have been accepted as attempt %s: %w", attempt, err)
}

func (client *Client) sendOnce(ctx context.Context, method, path string, body []byte, attempt string) (*http.Response, error) {
	scheme := "http://"
	if client.TLS {
		scheme = "https://"
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+client.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+client.Key)
	if attempt != "" {
		request.Header.Set(attemptHeader, attempt)
	}
	if client.HTTP == nil {
		return defaultClient.Do(request)
	}
	return client.HTTP.Do(request)
}

// decodeFailure decodes an error's body. After an unanswered send, a refusal by a host that
// couldn't look up the attempt applies to the last send only: the edit may have been accepted
// before, so the verdict becomes MayHaveRun.
func decodeFailure(status int, content []byte, unanswered bool) error {
	var body failureBody
	if err := json.Unmarshal(content, &body); err != nil || body.Error == nil {
		return fmt.Errorf("operator client: status %d: %s", status, content)
	}
	code := body.Error.Code
	if unanswered && (code == bvverdict.PlatformUnavailable.String() || code == bvverdict.Overloaded.String()) {
		body.Error.Verdict = bvverdict.MayHaveRun.String()
		body.Error.Reason += "; an earlier send got no answer, see the table's history"
	}
	return body.Error
}
