package bvcaller

import (
	"encoding/json"
	"net/http"

	"balsamvalve.example/bvanswer"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvverdict"
)

// eventStream writes server-sent events.
type eventStream struct {
	writer  http.ResponseWriter
	request string
	model   string
	begun   bool
	sent    bool // some text was sent
}

func (stream *eventStream) write(data []byte) error {
	if !stream.begun {
		stream.begun = true
		stream.writer.Header().Set("Content-Type", "text/event-stream")
		stream.writer.Header().Set("Cache-Control", "no-store")
	}
	frame := make([]byte, 0, len(data)+8)
	frame = append(frame, "data: "...)
	frame = append(frame, data...)
	frame = append(frame, "\n\n"...)
	if _, err := stream.writer.Write(frame); err != nil {
		return err
	}
	return http.NewResponseController(stream.writer).Flush()
}

func (stream *eventStream) chunk(chunk completion) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return stream.write(data)
}

// stream answers with server-sent events. The last chunk and [DONE] come only
// after the answer is kept: a stream without them is incomplete, and the same
// request sent again gets the whole answer.
func (api *API) stream(writer http.ResponseWriter, request *http.Request, chat *chatRequest, call *bvpeer.Call) {
	stream := &eventStream{writer: writer, request: call.GetRequest(), model: chat.model}
	var finished *bvpeer.Finished
	err := api.entry.Run(request.Context(), call, func(event *bvpeer.CallEvent) error {
		if event.GetFinished() != nil {
			finished = event.GetFinished()
			return nil
		}
		stream.sent = true
		return stream.chunk(chunkOf(stream.request, stream.model, event.GetToken().GetText()))
	})
	if err != nil {
		api.failStream(stream, request, err)
		return
	}
	if err := stream.finish(chat, finished); err != nil {
		api.failStream(stream, request, err)
		return
	}
	api.measure.CountAnswer()
}

// failStream ends a stream with a typed error in place of [DONE].
func (api *API) failStream(stream *eventStream, request *http.Request, err error) {
	if !stream.begun {
		api.fail(stream.writer, request, err)
		return
	}
	api.refused(request, err)
	_ = stream.write(failureBody(bvverdict.From(err)))
}

func (stream *eventStream) finish(chat *chatRequest, finished *bvpeer.Finished) error {
	answer, err := bvanswer.DecodeModel(finished.GetAnswer())
	if err != nil {
		return err
	}
	if !stream.sent && answer.Text != "" {
		if err := stream.chunk(chunkOf(stream.request, answer.Model, answer.Text)); err != nil {
			return err
		}
	}
	if err := stream.chunk(lastChunkOf(stream.request, answer)); err != nil {
		return err
	}
	if chat.includeUsage {
		last := lastChunkOf(stream.request, answer)
		last.Choices = []choice{}
		last.Usage = usageOf(answer)
		if err := stream.chunk(last); err != nil {
			return err
		}
	}
	return stream.write([]byte("[DONE]"))
}
