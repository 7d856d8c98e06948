package auditor

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/audit"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/operator"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

const (
	defaultLimit = 200
	maxLimit     = 5000
	maxReadBytes = 1 << 20
	// maxReads limits the reads of one query. Page.Next says where to continue.
	maxReads = 64
	// maxWait limits how long a query waits for new entries.
	maxWait = 20 * time.Second
)

// Entry is one audit entry in the result of a query.
type Entry struct {
	At        time.Time `json:"at"`
	Kind      string    `json:"kind"`
	Cause     string    `json:"cause,omitempty"`
	Actor     string    `json:"actor,omitempty"`
	Instance  string    `json:"instance"`
	Service   string    `json:"service,omitempty"`
	Server    string    `json:"server,omitempty"`
	Job       string    `json:"job,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	Before    string    `json:"before,omitempty"`
	After     string    `json:"after,omitempty"`
	// Dropped is the number of the instance's entries that were dropped before this one.
	Dropped uint64 `json:"dropped,omitempty"`
}

// Page is a page of entries, oldest first.
type Page struct {
	Entries []Entry `json:"entries"`
	// Next is the value of the parameter from that returns the entries after this page.
	Next int64 `json:"next"`
	// More is set if the stream has records from Next on.
	More bool `json:"more"`
}

type query struct {
	filter audit.Filter
	from   int64
	limit  int
	wait   time.Duration
}

// Routes registers the admin handler.
func (a *Auditor) Routes(s *operator.Server) {
	s.HandleAdmin(http.MethodGet, "audit", func(ctx context.Context, r operator.Request) (any, error) {
		q, err := parseQuery(r.Query)
		if err != nil {
			return nil, err
		}
		return a.query(ctx, q)
	})
}

func parseQuery(in map[string]string) (q query, err error) {
	q = query{limit: defaultLimit, filter: audit.Filter{Service: in["service"], Job: in["job"], Server: in["server"],
		Workspace: in["workspace"], Kind: in["kind"]}}
	for name, at := range map[string]*time.Time{"since": &q.filter.Since, "until": &q.filter.Until} {
		if in[name] == "" {
			continue
		}
		if *at, err = time.Parse(time.RFC3339, in[name]); err != nil {
			return q, api.Invalid(name, "%q is not a time such as 2026-11-02T15:04:05Z", in[name])
		}
	}
	if text := in["from"]; text != "" {
		if q.from, err = strconv.ParseInt(text, 10, 64); err != nil || q.from < 0 {
			return q, api.Invalid("from", "%q is not an offset", text)
		}
	}
	if text := in["limit"]; text != "" {
		if q.limit, err = strconv.Atoi(text); err != nil || q.limit < 1 || q.limit > maxLimit {
			return q, api.Invalid("limit", "%q is not between 1 and %d", text, maxLimit)
		}
	}
	if text := in["wait_ms"]; text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 0 {
			return q, api.Invalid("wait_ms", "%q is not a time in milliseconds", text)
		}
		q.wait = min(maxWait, time.Duration(ms)*time.Millisecond)
	}
	return q, nil
}

// query reads the stream from offset q.from. Deduplication starts there, so a batch
// that was first appended before that offset can appear again.
func (a *Auditor) query(ctx context.Context, q query) (*Page, error) {
	out, deduplicator := &Page{Entries: []Entry{}, Next: q.from}, audit.NewDeduplicator()
	for range maxReads {
		wait := q.wait
		if len(out.Entries) > 0 {
			wait = 0
		}
		page, err := a.opts.Log.Read(ctx, audit.Stream, out.Next, maxReadBytes, wait)
		var expired *port.ExpiredError
		if errors.As(err, &expired) {
			out.Next = expired.First
			continue
		}
		if err != nil {
			return nil, api.Unavailable(api.CodeLogUnavailable, time.Second, "the log does not answer: %v", err)
		}
		for _, r := range page.Records {
			out.Next = r.Offset + 1
			out.addMatching(deduplicator, &q.filter, r)
			if len(out.Entries) >= q.limit {
				out.More = out.Next < page.End
				return out, nil
			}
		}
		if out.More = out.Next < page.End; !out.More || len(page.Records) == 0 {
			return out, nil
		}
	}
	return out, nil
}

func (out *Page) addMatching(deduplicator *audit.Deduplicator, filter *audit.Filter, r port.Record) {
	batch, err := record.Decode(r.Payload)
	if err != nil {
		return
	}
	for _, entry := range deduplicator.Apply(batch) {
		if filter.Match(entry) {
			out.Entries = append(out.Entries, Entry{At: entry.At.UTC(), Kind: entry.Kind, Cause: entry.Cause, Actor: entry.Actor, Instance: entry.Instance,
				Service: entry.Service, Server: entry.Server, Job: entry.Job, Workspace: entry.Workspace, Before: entry.Before, After: entry.After, Dropped: entry.Dropped})
		}
	}
}
