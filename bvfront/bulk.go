package bvfront

import (
	"io"

	"golang.org/x/time/rate"
)

const (
	// freeAnswerBytes is the size up to which an answer is read as fast as it arrives.
	freeAnswerBytes = 1 << 20
	// bulkBurstBytes is what may be read at once, and makes up for timers that fire late.
	bulkBurstBytes = 1 << 20
	// bulkLinkShare is the share of the host's link that all long answers may use together,
	// since an answer without end is not known as such before its request's time is over.
	bulkLinkShare = 0.75
)

// SetLinkRate sets the rate of the host's link, in bytes per second; 0 means unknown, and no
// limit for long answers.
func (front *Front) SetLinkRate(bytes int64) {
	limit := rate.Inf
	if bytes > 0 {
		limit = rate.Limit(float64(bytes) * bulkLinkShare)
	}
	front.bulk.SetLimit(limit)
}

// bulkReader reads the body of an answer. What exceeds freeAnswerBytes shares the limited
// rate of long answers.
type bulkReader struct {
	source io.Reader
	call   *call
	count  int64
}

// Read implements io.Reader.
func (reader *bulkReader) Read(buffer []byte) (int, error) {
	count, err := reader.source.Read(buffer[:min(len(buffer), bulkBurstBytes)])
	reader.count += int64(count)
	if reader.count <= freeAnswerBytes || count == 0 {
		return count, err
	}
	ctx := reader.call.ctx
	if reader.call.front.bulk.WaitN(ctx, count) != nil {
		<-ctx.Done() // nothing more can be passed on in time
		return 0, ctx.Err()
	}
	return count, err
}
