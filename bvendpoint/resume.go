package bvendpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"balsamvalve.example/bvverdict"
)

// Resume takes over a stream that another host opened and lost. It gives all
// tokens from the first on to onToken and, like Chat, goes on over new
// connections. It runs nothing: an endpoint that does not know the stream
// answers with an error, and the call may be run anew.
func (client *Client) Resume(ctx context.Context, address string, call ChatCall, onToken func(offset int, text string) error) (ChatResult, error) {
	stream := &chatStream{client: client, address: address, call: call, onToken: onToken}
	path := fmt.Sprintf("/v1/streams/%s?offset=0", url.PathEscape(call.Stream))
	client.start()
	failed := stream.run(ctx, http.MethodGet, path, nil, client.fresh)
	return stream.end(ctx, failed)
}

// end goes on with a stream over new connections as long as that may help.
func (stream *chatStream) end(ctx context.Context, failed *bvverdict.Error) (ChatResult, error) {
	for failed != nil && stream.mayResume(ctx, failed) {
		failed = stream.resume(ctx, failed)
	}
	stream.result.Text = stream.text.String()
	if failed == nil {
		stream.client.budget.earn()
		return stream.result, nil
	}
	return stream.result, failed
}
