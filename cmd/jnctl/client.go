package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"
)

// Exit codes.
const (
	exitFailure        = 1
	exitUsage          = 2
	exitRefused        = 3
	exitNotFound       = 4
	exitUnavailable    = 5
	exitUnknownOutcome = 6
)

const (
	requestTimeout = 60 * time.Second
	// maxResponseBytes limits the responses that are read into memory, in bytes.
	maxResponseBytes = 64 << 20
)

// failure is an error with an exit code and a hint at what the user can do.
type failure struct {
	code    int
	message string
	hint    string
}

func (f *failure) Error() string { return f.message }

func usageError(format string, args ...any) error {
	return &failure{code: exitUsage, message: fmt.Sprintf(format, args...)}
}

// client sends requests to one listener.
type client struct {
	address, key string
	// listener names the listener in error messages.
	listener string
}

// operatorFlags are the flags of commands that use the operators' listener.
type operatorFlags struct {
	Address string `help:"Operators' listener of an instance." default:"127.0.0.1:8081" env:"JNCTL_OPERATOR_ADDRESS"`
}

func (f operatorFlags) client() *client {
	return &client{address: f.Address, listener: "the operators' listener"}
}

// callerFlags are the flags of commands that use the callers' listener.
type callerFlags struct {
	Address string `help:"Callers' listener of an instance or of the load balancer; prefix it with https:// for TLS." default:"127.0.0.1:8080" env:"JNCTL_ADDRESS"`
	Key     string `help:"API key of the workspace." env:"JNCTL_KEY" placeholder:"KEY"`
}

func (f callerFlags) client() *client {
	return &client{address: f.Address, key: f.Key, listener: "the callers' listener"}
}

func (c *client) url(path string, query url.Values) string {
	base := c.address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	text := strings.TrimSuffix(base, "/") + path
	if len(query) > 0 {
		text += "?" + query.Encode()
	}
	return text
}

// open sends a request. It returns the response, whose body the caller closes, if the
// status is below 300, and an error otherwise.
func (c *client) open(ctx context.Context, method, path string, query url.Values, body io.Reader, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url(path, query), body)
	if err != nil {
		return nil, usageError("%q is not a valid address: %v", c.address, err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, c.transportError(method, err)
	}
	if resp.StatusCode < 300 {
		return resp, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return nil, c.statusError(resp, text)
}

// transportError converts an error of a request without a response to a failure. The outcome is
// unknown unless no connection was established or the request was a GET, which changes nothing.
func (c *client) transportError(method string, err error) error {
	hint := fmt.Sprintf("Check that the instance is running and that --address names %s, or use another instance.", c.listener)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || method == http.MethodGet {
		return &failure{code: exitUnavailable, message: fmt.Sprintf("no response from %s: %v", c.address, err), hint: hint}
	}
	return &failure{code: exitUnknownOutcome, message: fmt.Sprintf("the response from %s was lost: %v", c.address, err),
		hint: "The request may have been carried out. Check the state before repeating it, or repeat it with the same key or edit id."}
}

// statusError converts a response with an error status to a failure.
func (c *client) statusError(resp *http.Response, text []byte) error {
	var body struct {
		Error struct {
			Code    string  `json:"code"`
			Message string  `json:"message"`
			Param   *string `json:"param"`
		} `json:"error"`
	}
	f := &failure{code: exitRefused, message: fmt.Sprintf("status %d", resp.StatusCode)}
	if json.Unmarshal(text, &body) == nil && body.Error.Message != "" {
		f.message = fmt.Sprintf("%s (%s)", body.Error.Message, body.Error.Code)
		if body.Error.Param != nil && *body.Error.Param != "" {
			f.message = *body.Error.Param + ": " + f.message
		}
	}
	switch {
	case resp.Header.Get("Jacinthnotch-Outcome") == "unknown" && resp.StatusCode >= 500:
		f.code, f.hint = exitUnknownOutcome, "The request may have been carried out. Repeat it with the same key or edit id."
	case resp.StatusCode == http.StatusNotFound:
		f.code, f.hint = exitNotFound, "Check the name, and that --address and --key belong to the right fleet and workspace."
	case resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusForbidden:
		f.hint = "Pass the workspace's API key with --key or in JNCTL_KEY."
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode >= 500:
		f.code, f.hint = exitUnavailable, "Nothing was changed. Try again, or use another instance with --address."
		if after := resp.Header.Get("Retry-After"); after != "" {
			f.hint = fmt.Sprintf("Nothing was changed. Try again after %s s, or use another instance with --address.", after)
		}
	}
	return f
}

// call sends a request with in as its JSON body, if it is not nil, and decodes the JSON
// response into out.
func (c *client) call(ctx context.Context, method, path string, query url.Values, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var body io.Reader
	headers := map[string]string{}
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body, headers["Content-Type"] = bytes.NewReader(text), "application/json"
	}
	resp, err := c.open(ctx, method, path, query, body, headers)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return decode(resp.Body, out)
}

func decode(r io.Reader, out any) error {
	text, err := io.ReadAll(io.LimitReader(r, maxResponseBytes))
	if err != nil {
		return &failure{code: exitUnknownOutcome, message: "the response was cut off: " + err.Error(), hint: "Check the state before repeating the request."}
	}
	if err := json.Unmarshal(text, out); err != nil {
		return &failure{code: exitFailure, message: "the response does not have the expected format: " + err.Error(),
			hint: "Check that --address names a jacinthnotch listener of the same version as jnctl."}
	}
	return nil
}

// print writes value as JSON, or the table that the function writes, depending on the
// output format.
func (e *env) print(value any, table func(w io.Writer)) error {
	if e.asJSON {
		enc := json.NewEncoder(e.out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// writeRow writes one line of a tab-separated table, with a dash for an empty cell.
func writeRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		text := fmt.Sprint(c)
		if text == "" {
			text = "-"
		}
		fmt.Fprint(w, strings.NewReplacer("\n", " ", "\t", " ").Replace(text))
	}
	fmt.Fprintln(w)
}

// sleep waits for d, or returns an error as soon as the command is interrupted.
func (e *env) sleep(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}
