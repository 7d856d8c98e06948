package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/auditor"
	"github.com/jacinthnotch/jacinthnotch/node/instance"
	"github.com/jacinthnotch/jacinthnotch/node/quarantine"
)

const (
	// followPollTimeout is the maximum time that the instance waits for new audit entries
	// before it responds.
	followPollTimeout = 20 * time.Second
	// maxValueRunes is the maximum length of a value of an audit entry in the table, in
	// characters.
	maxValueRunes = 60
)

func encode(v any) ([]byte, error) { return json.Marshal(v) }

type auditCmd struct {
	operatorFlags
	Since     string `help:"Show entries since this time: a duration before now such as 2h, or a time such as 2026-11-02T15:04:05Z." default:"24h"`
	Service   string `help:"Only entries about the service."`
	Job       string `help:"Only entries about the job."`
	Server    string `help:"Only entries about the server."`
	Workspace string `help:"Only entries about the workspace."`
	Kind      string `help:"Only entries of the kind, such as config or quarantine."`
	Follow    bool   `help:"Continue to show new entries until interrupted." short:"f"`
	Limit     int    `help:"Maximum number of entries per request." default:"500"`
}

// Run shows the audit trail. Example: jnctl audit --since 1h --follow
func (c *auditCmd) Run(e *env) error {
	since, err := parseSince(c.Since, time.Now())
	if err != nil {
		return err
	}
	query := url.Values{"since": {since.UTC().Format(time.RFC3339)}, "limit": {strconv.Itoa(c.Limit)}}
	for name, value := range map[string]string{"service": c.Service, "job": c.Job, "server": c.Server, "workspace": c.Workspace, "kind": c.Kind} {
		if value != "" {
			query.Set(name, value)
		}
	}
	if !e.asJSON {
		fmt.Fprintf(e.out, "%-20s  %-18s  %-12s  %-12s  %s\n", "AT", "KIND", "INSTANCE", "ACTOR", "WHAT")
	}
	for {
		var page auditor.Page
		if err := c.client().call(e.ctx, http.MethodGet, "/admin/audit", query, nil, &page); err != nil {
			if e.ctx.Err() != nil {
				return nil
			}
			return err
		}
		for _, entry := range page.Entries {
			e.printEntry(entry)
		}
		query.Set("from", strconv.FormatInt(page.Next, 10))
		if !page.More {
			if !c.Follow || e.ctx.Err() != nil {
				return nil
			}
			query.Set("wait_ms", strconv.FormatInt(followPollTimeout.Milliseconds(), 10))
		}
	}
}

// parseSince parses a duration before now or an RFC 3339 time.
func parseSince(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, usageError("--since %q is neither a duration such as 2h nor a time such as 2026-11-02T15:04:05Z", text)
	}
	return at, nil
}

func (e *env) printEntry(entry auditor.Entry) {
	if e.asJSON {
		text, _ := json.Marshal(entry)
		fmt.Fprintf(e.out, "%s\n", text)
		return
	}
	var details []string
	for _, part := range [][2]string{{"service", entry.Service}, {"server", entry.Server}, {"job", entry.Job}, {"workspace", entry.Workspace},
		{"cause", entry.Cause}, {"before", entry.Before}, {"after", entry.After}} {
		if part[1] != "" {
			details = append(details, part[0]+"="+shorten(part[1]))
		}
	}
	if entry.Dropped > 0 {
		details = append(details, fmt.Sprintf("dropped-before=%d", entry.Dropped))
	}
	fmt.Fprintf(e.out, "%-20s  %-18s  %-12s  %-12s  %s\n", entry.At.Format(time.RFC3339), entry.Kind, entry.Instance, entry.Actor, strings.Join(details, " "))
}

func shorten(text string) string {
	text = strings.Join(strings.Fields(text), " ")
	if r := []rune(text); len(r) > maxValueRunes {
		text = string(r[:maxValueRunes]) + "..."
	}
	if strings.Contains(text, " ") {
		return strconv.Quote(text)
	}
	return text
}

type serversCmd struct {
	operatorFlags
	Service string `help:"Only the servers of the service."`
}

// Run lists the servers that the instance knows.
func (c *serversCmd) Run(e *env) error {
	query := url.Values{}
	if c.Service != "" {
		query.Set("service", c.Service)
	}
	var out struct {
		Servers []instance.ServerInfo `json:"servers"`
	}
	if err := c.client().call(e.ctx, http.MethodGet, "/admin/servers", query, nil, &out); err != nil {
		return err
	}
	return e.print(out, func(w io.Writer) {
		writeRow(w, "SERVER", "SERVICE", "MODEL", "STATE", "RUNNING", "WAITING", "SLOTS", "DIRECTOR", "DATA CENTRE", "ADDRESS")
		for _, s := range out.Servers {
			writeRow(w, s.ID, s.Service, s.Model, s.State, s.Running, s.Waiting, s.Slots, s.Director, s.DataCentre, s.Address)
		}
	})
}

type membersCmd struct{ operatorFlags }

// Run lists the instances that the instance knows.
func (c *membersCmd) Run(e *env) error {
	var out instance.Overview
	if err := c.client().call(e.ctx, http.MethodGet, "/admin/members", nil, nil, &out); err != nil {
		return err
	}
	return e.print(out, func(w io.Writer) {
		state := "ready"
		if !out.Ready {
			state = "not ready: " + out.Reason
		}
		if out.Draining {
			state = "draining"
		}
		fmt.Fprintf(w, "seen by %s: %s, configuration revision %d, %d partitions held\n", out.Instance, state, out.Revision, len(out.Owned))
		writeRow(w, "INSTANCE", "STATUS", "LEAVING", "WEIGHT", "PARTITIONS", "DATA CENTRE", "PEER ADDRESS")
		for _, m := range out.Members {
			writeRow(w, m.ID, m.Status, m.Leaving, m.Weight, m.Partitions, m.DataCentre, m.Address)
		}
	})
}

type quarantineCmd struct {
	List    quarantineListCmd    `cmd:"" help:"List the quarantined requests. Example: jnctl quarantine list"`
	Release quarantineReleaseCmd `cmd:"" help:"Let a request run again. Example: jnctl quarantine release FINGERPRINT"`
}

type quarantineListCmd struct{ operatorFlags }

// Run lists the quarantined requests.
func (c *quarantineListCmd) Run(e *env) error {
	var out quarantine.ListResponse
	if err := c.client().call(e.ctx, http.MethodGet, "/admin/quarantine", nil, nil, &out); err != nil {
		return err
	}
	return e.print(out, func(w io.Writer) {
		writeRow(w, "FINGERPRINT", "SERVERS", "UNTIL", "REASON")
		for _, q := range out.Entries {
			writeRow(w, q.Fingerprint, strings.Join(q.Servers, " "), q.Until.Format(time.RFC3339), q.Reason)
		}
	})
}

type quarantineReleaseCmd struct {
	operatorFlags
	Fingerprint string `arg:"" help:"Fingerprint of the request, as shown by quarantine list."`
	Actor       string `help:"Actor recorded for the release; the current user by default." env:"JNCTL_ACTOR"`
}

// Run releases the request.
func (c *quarantineReleaseCmd) Run(e *env) error {
	if c.Actor == "" {
		c.Actor = "unknown"
		if u, err := user.Current(); err == nil && u.Username != "" {
			c.Actor = u.Username
		}
	}
	var out quarantine.ReleaseResponse
	in := quarantine.ReleaseRequest{Fingerprint: c.Fingerprint, Actor: c.Actor}
	if err := c.client().call(e.ctx, http.MethodPost, "/admin/quarantine/release", nil, in, &out); err != nil {
		return err
	}
	return e.print(out, func(w io.Writer) { fmt.Fprintln(w, "released "+out.Fingerprint) })
}
