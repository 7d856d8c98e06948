package batchapi

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

// maxCustomIDBytes limits custom_id because each result repeats it.
const maxCustomIDBytes = 512

// endpoints are the valid values of url in a line and of endpoint in a batch.
var endpoints = []string{"/v1/chat/completions", "/v1/completions"}

// item holds the fields of one line of an input file.
type item struct {
	CustomID string
	URL      string
	Model    string
}

// lineError describes an invalid field of a line, or an invalid line.
type lineError struct {
	param  string
	reason string
}

func (e *lineError) Error() string { return e.param + ": " + e.reason }

// parseLine parses and validates one line of an input file, independently of other
// lines. The names of fields are case-sensitive, as they are for the director and the
// engine.
func parseLine(line []byte) (item, error) {
	var it item
	if !utf8.Valid(line) {
		return it, &lineError{"line", "is not valid UTF-8"}
	}
	fields, err := parseObject(line)
	if err != nil {
		return it, &lineError{"line", "is not a JSON object: " + err.Error()}
	}
	if err := parseString(fields, "custom_id", &it.CustomID); err != nil {
		return it, err
	}
	if it.CustomID == "" || len(it.CustomID) > maxCustomIDBytes {
		return it, &lineError{"custom_id", fmt.Sprintf("has to have 1 to %d bytes", maxCustomIDBytes)}
	}
	var method string
	if err := parseString(fields, "method", &method); err != nil {
		return it, err
	}
	if method != http.MethodPost {
		return it, &lineError{"method", strconv.Quote(method) + " is not POST"}
	}
	if err := parseString(fields, "url", &it.URL); err != nil {
		return it, err
	}
	if !slices.Contains(endpoints, it.URL) {
		return it, &lineError{"url", fmt.Sprintf("%q is not one of %v", it.URL, endpoints)}
	}
	return it, parseBody(fields["body"], &it)
}

func parseBody(raw json.RawMessage, it *item) error {
	body, err := parseObject(raw)
	if err != nil {
		return &lineError{"body", "is not a JSON object"}
	}
	if err := parseString(body, "model", &it.Model); err != nil || it.Model == "" {
		return &lineError{"body.model", "a model name is required"}
	}
	var stream bool
	if raw, ok := body["stream"]; ok && json.Unmarshal(raw, &stream) != nil {
		return &lineError{"body.stream", "is neither true nor false"}
	}
	if stream {
		return &lineError{"body.stream", "a batch item cannot be streamed"}
	}
	return nil
}

// parseObject decodes a JSON object. Unlike decoding into a struct, it keeps names
// that differ only in case apart.
func parseObject(raw []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errors.New("null")
	}
	return fields, nil
}

// parseString decodes a required string field.
func parseString(fields map[string]json.RawMessage, name string, target *string) error {
	raw, ok := fields[name]
	if !ok {
		return &lineError{name, "is missing"}
	}
	if bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, target) != nil {
		return &lineError{name, "is not a string"}
	}
	return nil
}

// fileSummary describes a validated file.
type fileSummary struct {
	Lines int
	// Bytes is the size of the lines, each with a terminator of one byte.
	Bytes  int64
	Digest []byte
}

// checkLimits limits one file.
type checkLimits struct {
	Bytes     int64
	Lines     int
	LineBytes int
	// Slots limits the number of lines that all uploads validate at the same time;
	// nil for no limit.
	Slots chan struct{}
}

// checkLines reads a file line by line, validates each line and passes it to keep,
// which must not retain the slice. The error for an invalid line is a *api.Refusal
// with the number of the line, counted from one. Blank lines are valid at the end of
// the file only.
func checkLines(r io.Reader, limits checkLimits, keep func([]byte) error) (fileSummary, error) {
	var summary fileSummary
	c := checker{limits: limits, ids: make(map[idDigest]int)}
	digest := sha256.New()
	src := bufio.NewReaderSize(r, limits.LineBytes+2)
	number, blank := 0, 0
	for {
		line, err := src.ReadSlice('\n')
		number++
		if errors.Is(err, bufio.ErrBufferFull) {
			return summary, lineTooLong(number, limits.LineBytes)
		}
		if err != nil && err != io.EOF {
			return summary, err
		}
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(bytes.TrimSpace(line)) == 0 {
			if blank == 0 {
				blank = number
			}
		} else {
			if blank > 0 {
				return summary, invalidLine(blank, &lineError{"line", "is blank"})
			}
			summary.Lines++
			summary.Bytes += int64(len(line)) + 1
			if summary.Bytes > limits.Bytes {
				return summary, api.TooLarge("file", "the file is above the limit of %d bytes", limits.Bytes)
			}
			if err := c.checkAndKeep(number, line, digest, keep); err != nil {
				return summary, err
			}
		}
		if err == io.EOF {
			break
		}
	}
	if summary.Lines == 0 {
		return summary, invalidFile("file", "the file has no lines")
	}
	summary.Digest = digest.Sum(nil)
	return summary, nil
}

// idDigest is the first half of a SHA-256 digest. 128 bits are enough to rule out
// accidental collisions within a file.
type idDigest [16]byte

// checker validates the lines of one file.
type checker struct {
	limits checkLimits
	// ids maps the digest of each custom_id to its line. Digests limit the memory
	// of a file with many long identifiers.
	ids map[idDigest]int
	// url and model are those of the first line.
	url   string
	model string
}

// checkAndKeep validates one line and passes it to keep, while it holds a slot. The
// number of uploads limits the wait for a slot, because each upload holds a slot for
// one line at a time.
func (c *checker) checkAndKeep(number int, line []byte, digest io.Writer, keep func([]byte) error) error {
	if c.limits.Slots != nil {
		c.limits.Slots <- struct{}{}
		defer func() { <-c.limits.Slots }()
	}
	if err := c.check(number, line); err != nil {
		return err
	}
	digest.Write(line)
	digest.Write([]byte("\n"))
	return keep(line)
}

func (c *checker) check(number int, line []byte) error {
	if number > c.limits.Lines {
		return api.TooLarge("file", "the file has more than %d lines", c.limits.Lines)
	}
	if len(line) > c.limits.LineBytes {
		return lineTooLong(number, c.limits.LineBytes)
	}
	it, err := parseLine(line)
	if err != nil {
		return invalidLine(number, err)
	}
	sum := sha256.Sum256([]byte(it.CustomID))
	id := idDigest(sum[:])
	if first, ok := c.ids[id]; ok {
		return invalidLine(number, &lineError{"custom_id", fmt.Sprintf("%q stands on line %d already", it.CustomID, first)})
	}
	c.ids[id] = number
	if c.url == "" {
		c.url, c.model = it.URL, it.Model
	}
	// A job has one endpoint and one model, because directors request items by
	// endpoint and model.
	if it.URL != c.url {
		return invalidLine(number, &lineError{"url", fmt.Sprintf("%q differs from %q on line 1", it.URL, c.url)})
	}
	if it.Model != c.model {
		return invalidLine(number, &lineError{"body.model", fmt.Sprintf("%q differs from %q on line 1", it.Model, c.model)})
	}
	return nil
}

func invalidFile(param, format string, args ...any) *api.Refusal {
	r := api.Invalid(param, format, args...)
	r.Code = api.CodeInvalidFile
	return r
}

func invalidLine(number int, err error) *api.Refusal {
	param := "file"
	var le *lineError
	if errors.As(err, &le) {
		param = le.param
	}
	return invalidFile(param, "line %d: %v", number, err)
}

func lineTooLong(number, limit int) *api.Refusal {
	return api.TooLarge("file", "line %d is longer than %d bytes", number, limit)
}

func (a *API) fileLimits(view *api.View) checkLimits {
	o, l := a.opts.Limits, view.Limits
	return checkLimits{Bytes: web.LowerLimit(o.FileBytes, l.MaxFileBytes), Lines: web.LowerLimit(o.FileLines, l.MaxFileLines),
		LineBytes: web.LowerLimit(o.LineBytes, l.MaxLineBytes), Slots: a.checkSlots}
}
