package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc/panics"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/ring"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

const (
	eventStream = "text/event-stream"
	doneEvent   = "data: [DONE]\n\n"
	// recordedComment reports that the answer is recorded. It is an SSE comment,
	// which client libraries ignore, because the headers of a stream are sent
	// before its answer can be recorded.
	recordedComment = ": jacinthnotch-recorded: true\n\n"
	// waitGrace is how long after the deadline and RecordWait the listener waits
	// for a request that does not end at its deadline.
	waitGrace = 5 * time.Second
)

var (
	streamsEndedSlowCaller = expvar.NewInt("edge_streams_ended_slow_caller")
	errSlowCaller          = errors.New("entry: the caller does not read its stream")
)

// stream connects the goroutine that runs a streamed request with the goroutine
// that writes to the caller.
type stream struct {
	events *ring.Ring[[]byte]
	// enqueueTimeout bounds the wait for space in events when the caller does not
	// read.
	enqueueTimeout time.Duration
	// response is set before done is closed and is valid after that.
	response response
	done     chan struct{}
}

// sink queues one event for the caller. It implements api.Sink.
func (st *stream) sink(data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), st.enqueueTimeout)
	defer cancel()
	err := st.events.Put(ctx, bytes.Clone(data))
	if errors.Is(err, context.DeadlineExceeded) {
		streamsEndedSlowCaller.Add(1)
		st.events.Close()
		return errSlowCaller
	}
	return err
}

// serveStream answers with server-sent events. A request that ends before its
// first event with an error, an error status or a recorded answer gets an
// ordinary response with that status instead.
func (s *Server) serveStream(c fiber.Ctx, cl *call) error {
	ctx, cancel := context.WithDeadline(s.baseCtx, cl.deadline)
	st := &stream{events: ring.New[[]byte](s.opts.Limits.StreamEvents, nil), enqueueTimeout: s.opts.Limits.WriteTimeout, done: make(chan struct{})}
	disconnected := func() {
		st.events.Close()
		if cl.key == "" {
			cancel()
		}
	}
	stop := web.WatchDisconnect(c, disconnected)
	s.streams.Go(func() {
		defer cancel()
		defer close(st.done)
		defer st.events.Close()
		if p := panics.Try(func() { st.response = s.perform(ctx, cl, st.sink) }); p != nil {
			st.response = response{err: api.AsRefusal(p.AsError())}
		}
	})
	wait, endWait := context.WithDeadline(s.baseCtx, cl.deadline.Add(s.opts.Limits.RecordWait+waitGrace))
	first, err := st.events.Get(wait)
	if err != nil {
		defer endWait()
		stop()
		select {
		case <-st.done:
		case <-wait.Done():
			return api.AsRefusal(context.DeadlineExceeded)
		}
		if st.response.err != nil || st.response.replayed || !isSuccess(st.response.answer) {
			return writeResponse(c, cl, st.response)
		}
	}
	c.Set(fiber.HeaderContentType, eventStream)
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set(web.HeaderOutcome, string(api.Ran))
	if cl.key != "" {
		c.Set(web.HeaderRecorded, "false")
	}
	return c.SendStreamWriter(func(out *bufio.Writer) {
		defer endWait()
		defer stop()
		if st.copyTo(wait, out, first) != nil {
			disconnected()
			// The connection counts against Limits.Connections until the request has
			// ended.
			select {
			case <-st.done:
			case <-wait.Done():
			}
		}
	})
}

// copyTo writes the events and the end of the stream. It flushes only when no
// event is queued, which sends single events immediately and batches bursts.
func (st *stream) copyTo(ctx context.Context, out *bufio.Writer, event []byte) error {
	for event != nil {
		writeEvent(out, event)
		next, ok := st.events.TryGet()
		if !ok {
			if err := out.Flush(); err != nil {
				return err
			}
			var err error
			if next, err = st.events.Get(ctx); err != nil {
				break
			}
		}
		event = next
	}
	select {
	case <-st.done:
	case <-ctx.Done():
		return st.writeError(out, api.AsRefusal(context.DeadlineExceeded))
	}
	if st.response.err != nil {
		return st.writeError(out, api.AsRefusal(st.response.err))
	}
	if st.response.recorded {
		out.WriteString(recordedComment)
	}
	out.WriteString(doneEvent)
	return out.Flush()
}

// writeError ends a stream with an error event instead of [DONE], because the
// status and the headers have already been sent.
func (st *stream) writeError(out *bufio.Writer, r *api.Refusal) error {
	r = api.AsRefusal(notRunToUnknown(r))
	data, err := json.Marshal(struct {
		web.ErrorBody
		Outcome api.Outcome `json:"outcome"`
	}{web.NewErrorBody(r), r.Outcome})
	if err != nil {
		return err
	}
	writeEvent(out, data)
	return out.Flush()
}

// writeEvent writes the data of one event, with one data field per line, because a
// line break ends a field.
func writeEvent(out io.Writer, data []byte) {
	const field = "data: "
	data = bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n"))
	io.WriteString(out, field)
	out.Write(bytes.ReplaceAll(data, []byte("\n"), []byte("\n"+field)))
	io.WriteString(out, "\n\n")
}
