package client

import (
	"errors"
	"net/http"
	"testing"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// adapterCalls are one call of each adapter whose calls may have an effect, or whose answer reaches a caller.
var adapterCalls = map[string]func(t *testing.T, addr string, body []byte) error{
	"log append": func(t *testing.T, addr string, body []byte) error {
		_, err := NewLog(addr, "", Options{}).Append(t.Context(), "s", body)
		return err
	},
	"weight store": func(t *testing.T, addr string, _ []byte) error {
		_, err := NewWeightStore(addr, Options{}).Reserve(t.Context(), port.WeightRef{})
		return err
	},
	"engine": func(t *testing.T, addr string, body []byte) error {
		_, err := NewEngine(addr, NewPool(Options{})).Generate(t.Context(), &port.GenerateRequest{Path: "/v1/completions", Body: body}, nil)
		return err
	},
	"engine order": func(t *testing.T, addr string, _ []byte) error {
		return NewEngine(addr, NewPool(Options{})).Order(t.Context(), port.Order{})
	},
	"plain": func(t *testing.T, addr string, body []byte) error {
		_, err := NewPlain(addr, NewPool(Options{})).Do(t.Context(), &port.PlainRequest{Method: http.MethodPost, Path: "/x", Body: body})
		return err
	},
}

// Guards against an answer whose status HTTP does not know being taken for an answer, or for the statement
// that the call had no effect.
func TestUnknownStatusIsNoAnswer(t *testing.T) {
	for name, call := range adapterCalls {
		for _, line := range []string{"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 101 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 -12 X", "HTTP/2.0 200 OK", "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 000 X"} {
			addr, _ := serveScript(t, func(int64, *http.Request) []byte {
				return []byte(line + "\r\nConnection: close\r\nContent-Length: 12\r\n\r\n{\"offset\":3}")
			})
			err := call(t, addr, []byte("{}"))
			var status *port.StatusError
			if !errors.Is(err, port.ErrOutcomeUnknown) || errors.As(err, &status) {
				t.Errorf("%s, %s: %v", name, line, err)
			}
		}
	}
}

// Guards against valid answers being refused, of which a head comes in pieces, has no reason or is preceded
// by interim ones.
func TestValidStatusLines(t *testing.T) {
	const rest = "\r\nContent-Length: 12\r\nConnection: close\r\n\r\n{\"offset\":3}"
	for _, answer := range []string{
		"HTTP/1.1 200 OK" + rest, "HTTP/1.1 200" + rest, "HTTP/1.0 200 OK" + rest, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK" + rest,
	} {
		for name, call := range adapterCalls {
			addr, _ := serveScript(t, func(int64, *http.Request) []byte { return []byte(answer) })
			if err := call(t, addr, []byte("{}")); err != nil {
				t.Errorf("%s, %q: %v", name, answer, err)
			}
		}
		for n := range len(answer) {
			var s statusScanner
			if err := errors.Join(s.scan([]byte(answer[:n])), s.scan([]byte(answer[n:]))); err != nil {
				t.Errorf("%q in pieces from byte %d: %v", answer, n, err)
			}
		}
	}
}

// Guards against an append that the log may have made being taken for one without effect, because its status
// is no refusal.
func TestOnlyRefusalsOfTheLogHaveNoEffect(t *testing.T) {
	for status, want := range map[string]error{
		"201": port.ErrOutcomeUnknown, "204": port.ErrOutcomeUnknown, "302": port.ErrOutcomeUnknown, "500": port.ErrOutcomeUnknown, "502": port.ErrOutcomeUnknown,
		"404": port.ErrUnavailable, "429": port.ErrUnavailable, "503": port.ErrUnavailable, "413": port.ErrTooLarge,
	} {
		addr, _ := serveScript(t, func(int64, *http.Request) []byte {
			return []byte("HTTP/1.1 " + status + " X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		})
		if err := adapterCalls["log append"](t, addr, nil); !errors.Is(err, want) {
			t.Errorf("status %s: %v, want %v", status, err, want)
		}
	}
}
