package bvendpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"balsamvalve.example/bvverdict"
)

// Resume takes over a stream that another host opened and lost. It passes all tokens from
// the first to onToken and, like Chat, continues over new connections. It starts no
// call: an endpoint that does not know the stream responds with an error, and the
// call may be run again.
func (client *Client) Resume(ctx context.Context, address string, call ChatCall, onToken func(offset int, text string) error) (ChatResult, error) {
	stream := &chatStream{client: client, address: address, call: call, onToken: onToken}
	path := fmt.Sprintf("/v1/streams/%s?offset=0", url.PathEscape(call.Stream))
	failed := stream.runOnce(ctx, http.MethodGet, path, nil)
	return stream.resumeUntilDone(ctx, failed)
}

// resumeUntilDone resumes a failed stream over new connections until it is complete
// or canResume reports false.
func (stream *chatStream) resumeUntilDone(ctx context.Context, failed *bvverdict.Error) (ChatResult, error) {
	for failed != nil && stream.canResume(ctx, failed) {
		failed = stream.resume(ctx, failed)
	}
	stream.result.Text = stream.text.String()
	if failed == nil {
		stream.client.budget.earn()
		return stream.result, nil
	}
	return stream.result, failed
}
