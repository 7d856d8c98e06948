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

// plainAnswer is a whole answer of a server.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// write passes the answer on.
func (a *plainAnswer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	if _, typed := a.header["Content-Type"]; !typed {
		w.Header()["Content-Type"] = nil // the library would guess one
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	// A caller that cannot be written to has left; there is nobody to tell.
	_, _ = w.Write(a.body)
}

// passOn reads a plain answer whole and passes it on. A success of a safe request
// that breaks off is repeated, and a server's failure is kept in case no other
// server answers better.
func (c *call) passOn(ctx context.Context, lease *fleet.Lease, answer *exchange.Response, began time.Time) verdict {
	body, err := io.ReadAll(io.LimitReader(answer, bufferedAnswer+1))
	if err != nil {
		return c.failed(ctx, lease, began, fmt.Errorf("answer of status %d: %w", answer.Status, err))
	}
	if len(body) > bufferedAnswer {
		return c.passOnLong(lease, answer, body)
	}
	result := &plainAnswer{answer.Status, answer.Header, body}
	if answer.Status >= http.StatusInternalServerError {
		if answer.Status == http.StatusGatewayTimeout && c.timeUp() {
			lease.End(balance.Abandoned) // the request was longer than its limit
		} else {
			lease.End(balance.Failed)
		}
		c.failure = result
		return c.mayHaveRun(lease, fmt.Errorf("status %d", answer.Status))
	}
	lease.Pace(time.Since(began))
	lease.End(balance.Answered)
	c.runs++
	if c.begun {
		// A stream cannot go on with a plain answer.
		c.lastErr = fmt.Errorf("status %d to a resumed stream", answer.Status)
		return mayHaveRun
	}
	c.firstAt = time.Since(c.arrived)
	result.write(c.writer)
	return delivered
}

// passOnLong passes on an answer that is too long to be kept.
func (c *call) passOnLong(lease *fleet.Lease, answer *exchange.Response, head []byte) verdict {
	c.runs++
	c.begun = true
	c.firstAt = time.Since(c.arrived)
	copyHeader(c.writer.Header(), answer.Header)
	if answer.ContentLength >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	c.writer.WriteHeader(answer.Status)
	_, err := c.writer.Write(head)
	if err == nil {
		_, err = io.Copy(c.writer, answer)
	}
	if err == nil {
		lease.End(balance.Answered)
		return delivered
	}
	lease.End(balance.Abandoned)
	c.note(lease, "broken off", err)
	c.route = withoutRepeats(c.route)
	return mayHaveRun
}

// relay passes a stream on event by event.
func (c *call) relay(ctx context.Context, lease *fleet.Lease, answer *exchange.Response, watch *time.Timer, began time.Time) verdict {
	gap := max(silentGapLeast, silentGaps*c.route.GapObjective)
	if !c.repeatable() || c.runs+1 >= c.route.MaxAttempts {
		gap = 1 << 62
	}
	events, last, count := NewEventReader(answer), began, 0
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if count == 0 && !c.begun {
				return c.failed(ctx, lease, last, errors.New("a stream without events"))
			}
			c.runs++
			lease.End(balance.Answered)
			return delivered
		}
		if err != nil {
			return c.failed(ctx, lease, last, err)
		}
		if (c.begun || c.request.IsResume) && event.HasID && event.ID != c.lastEvent+1 {
			return c.failed(ctx, lease, last, fmt.Errorf("event %d after event %d", event.ID, c.lastEvent))
		}
		watch.Reset(gap)
		now := time.Now()
		if count == 0 {
			lease.Answering()
		} else {
			lease.Pace(now.Sub(last))
		}
		last = now
		count++
		if !c.pass(answer, event) {
			lease.End(balance.Abandoned)
			c.lastErr = errCallerGone
			return ended
		}
	}
}

// pass writes one event to the caller; false means that the caller has left.
func (c *call) pass(answer *exchange.Response, event Event) bool {
	if !c.begun {
		c.begun = true
		c.firstAt = time.Since(c.arrived)
		copyHeader(c.writer.Header(), answer.Header)
		c.writer.WriteHeader(answer.Status)
	}
	if event.HasID {
		c.lastEvent = event.ID
	}
	if _, err := c.writer.Write(event.Raw); err != nil {
		return false
	}
	return http.NewResponseController(c.writer).Flush() == nil
}
