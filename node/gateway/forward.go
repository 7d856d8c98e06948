package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/exchange"
	"github.com/jacinthnotch/jacinthnotch/node/fleet"
	"github.com/jacinthnotch/jacinthnotch/policy/balance"
)

// bufferedResponse is a response that was received in full.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeTo writes the response to the caller.
func (r *bufferedResponse) writeTo(w http.ResponseWriter) {
	copyEndToEndHeaders(w.Header(), r.header)
	if _, hasType := r.header["Content-Type"]; !hasType {
		w.Header()["Content-Type"] = nil // net/http would guess one
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	w.WriteHeader(r.status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(r.body)
}

// forward reads a response that is not a stream in full and forwards it. A truncated
// response can thus be retried, and a server's error response is kept in case no other
// server has a better one.
func (c *call) forward(ctx context.Context, lease *fleet.Lease, response *exchange.Response, start time.Time) attemptResult {
	body, complete, err := c.readBuffered(response)
	if err != nil {
		return c.recordBrokenAttempt(ctx, lease, start, fmt.Errorf("reading response with status %d: %w", response.Status, err))
	}
	if !complete && c.headerWritten {
		lease.End(balance.Failed)
		return c.recordPossibleRun(lease, fmt.Errorf("long response with status %d for a resumed stream", response.Status))
	}
	if !complete {
		return c.forwardUnbuffered(lease, response, body)
	}
	result := &bufferedResponse{response.Status, response.Header, body}
	if response.Status >= http.StatusInternalServerError {
		if response.Status == http.StatusGatewayTimeout && c.deadlineReached() {
			lease.End(balance.Abandoned) // the request took longer than its deadline allows
		} else {
			lease.End(balance.Failed)
		}
		c.errorResponse = result
		return c.recordPossibleRun(lease, fmt.Errorf("status %d", response.Status))
	}
	lease.RecordStepTime(time.Since(start))
	lease.End(balance.Answered)
	c.runCount++
	if c.headerWritten {
		// Only an event stream can continue a stream.
		c.lastErr = fmt.Errorf("status %d for a resumed stream", response.Status)
		return mayHaveRun
	}
	c.progress.answered = response.Status < http.StatusBadRequest
	c.firstLatency = time.Since(c.arrived)
	result.writeTo(c.writer)
	return delivered
}

// readBuffered reads a response to its end, or as much of it as may be buffered. The memory
// counts until the call ends, since an error response may be kept until then.
func (c *call) readBuffered(response io.Reader) (body []byte, complete bool, err error) {
	var chunk [readChunkBytes]byte
	for {
		n, err := response.Read(chunk[:])
		body = append(body, chunk[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return body, false, err
		case len(body) > maxBufferedResponseBytes || !Hold(c.incoming.Context(), n) || !c.gateway.Buffers.Resize(c.buffered, c.buffered+n):
			return body, false, nil
		}
		c.buffered += n
	}
}

// releaseBuffers releases the memory of all responses that the call has buffered.
func (c *call) releaseBuffers() {
	c.gateway.Buffers.Resize(c.buffered, 0)
	c.buffered = 0
}

// forwardUnbuffered forwards a response that is too large to be buffered, beginning with
// the prefix that was already read.
func (c *call) forwardUnbuffered(lease *fleet.Lease, response *exchange.Response, prefix []byte) attemptResult {
	c.runCount++
	c.headerWritten = true
	c.firstLatency = time.Since(c.arrived)
	copyEndToEndHeaders(c.writer.Header(), response.Header)
	if response.ContentLength >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	c.writer.WriteHeader(response.Status)
	c.limitWrites()
	_, err := c.writer.Write(prefix)
	if err == nil {
		_, err = io.Copy(c.writer, response)
	}
	if err == nil {
		lease.End(balance.Answered)
		c.progress.answered = response.Status < http.StatusBadRequest
		return delivered
	}
	lease.End(balance.Abandoned)
	c.recordFailedAttempt(lease, "response truncated", err)
	c.route = asAtMostOnce(c.route) // part of the response was forwarded, so no retry is possible
	return mayHaveRun
}

// forwardStream forwards a stream event by event.
func (c *call) forwardStream(ctx context.Context, lease *fleet.Lease, response *exchange.Response, timer *attemptTimer, start time.Time) attemptResult {
	gapTimeout := max(minGapTimeout, gapTimeoutFactor*c.route.GapObjective)
	if !c.mayTryAnother() {
		gapTimeout = c.lastAttemptTimeout()
	}
	// goesOn is set if the events follow those of an earlier response.
	goesOn := c.headerWritten || c.request.IsResume
	if goesOn && !IsEventStream(response.Header) {
		lease.End(balance.Failed)
		return c.recordPossibleRun(lease, fmt.Errorf("type %q for a resumed stream", response.Header.Get("Content-Type")))
	}
	events, lastReceived := NewEventReader(response), start
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if c.progress.events == 0 && !c.headerWritten {
				return c.recordBrokenAttempt(ctx, lease, lastReceived, errors.New("event stream without events"))
			}
			c.runCount++
			lease.End(balance.Answered)
			c.progress.answered = c.progress.events > 0
			return delivered
		}
		if err != nil {
			return c.recordBrokenAttempt(ctx, lease, lastReceived, err)
		}
		if goesOn || c.headerWritten && event.HasID {
			err = event.Follows(c.lastEvent)
		}
		if err != nil {
			return c.recordBrokenAttempt(ctx, lease, lastReceived, err)
		}
		timer.progress(gapTimeout)
		now := time.Now()
		if c.progress.events == 0 {
			lease.ResponseStarted()
		} else {
			lease.RecordStepTime(now.Sub(lastReceived))
		}
		lastReceived = now
		c.recordOrigin(lease, start)
		c.progress.recordEvent(now)
		if !c.forwardEvent(response, event) {
			lease.End(balance.Abandoned)
			c.lastErr = errCallerDisconnected
			return aborted
		}
	}
}

// forwardEvent writes one event to the caller. It returns false if the caller has
// disconnected.
func (c *call) forwardEvent(response *exchange.Response, event Event) bool {
	if !c.headerWritten {
		c.headerWritten = true
		c.firstLatency = time.Since(c.arrived)
		copyEndToEndHeaders(c.writer.Header(), response.Header)
		c.writer.WriteHeader(response.Status)
	}
	c.waitsSince = time.Time{}
	if event.HasID {
		c.lastEvent, c.numbered = event.ID, true
	}
	if c.deadline.IsZero() {
		c.limitWrites()
	}
	if _, err := c.writer.Write(event.Raw); err != nil {
		return false
	}
	return http.NewResponseController(c.writer).Flush() == nil
}
