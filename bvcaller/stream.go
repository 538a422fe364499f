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
	writer   http.ResponseWriter
	request  string
	model    string
	started  bool
	textSent bool
}

func (stream *eventStream) write(data []byte) error {
	if !stream.started {
		stream.started = true
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

func (stream *eventStream) writeChunk(chunk completion) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return stream.write(data)
}

// respondStream runs a call and answers with server-sent events. The last chunk and
// [DONE] are sent only after the answer is persisted: a stream without them is
// incomplete, and a repeat of the request gets the complete answer.
func (api *API) respondStream(writer http.ResponseWriter, request *http.Request, chat *chatRequest, call *bvpeer.Call) {
	stream := &eventStream{writer: writer, request: call.GetRequest(), model: chat.model}
	var finished *bvpeer.Finished
	err := api.entry.Run(request.Context(), call, func(event *bvpeer.CallEvent) error {
		if event.GetFinished() != nil {
			finished = event.GetFinished()
			return nil
		}
		stream.textSent = true
		return stream.writeChunk(chunkOf(stream.request, stream.model, event.GetToken().GetText()))
	})
	if err != nil {
		api.writeStreamError(stream, request, err)
		return
	}
	if err := stream.writeEnd(chat, finished); err != nil {
		api.writeStreamError(stream, request, err)
		return
	}
	api.measure.CountAnswer()
}

// writeStreamError ends a stream with a typed error in place of [DONE].
func (api *API) writeStreamError(stream *eventStream, request *http.Request, err error) {
	if !stream.started {
		api.writeError(stream.writer, request, err)
		return
	}
	api.recordRefusal(request, err)
	_ = stream.write(errorBody(bvverdict.From(err)))
}

func (stream *eventStream) writeEnd(chat *chatRequest, finished *bvpeer.Finished) error {
	answer, err := bvanswer.DecodeModel(finished.GetAnswer())
	if err != nil {
		return err
	}
	if !stream.textSent && answer.Text != "" {
		if err := stream.writeChunk(chunkOf(stream.request, answer.Model, answer.Text)); err != nil {
			return err
		}
	}
	if err := stream.writeChunk(lastChunkOf(stream.request, answer)); err != nil {
		return err
	}
	if chat.includeUsage {
		last := lastChunkOf(stream.request, answer)
		last.Choices = []choice{}
		last.Usage = usageOf(answer)
		if err := stream.writeChunk(last); err != nil {
			return err
		}
	}
	return stream.write([]byte("[DONE]"))
}
