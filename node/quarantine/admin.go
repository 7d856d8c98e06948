package quarantine

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/quarantine"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/operator"
)

// Entry is one quarantined request.
type Entry struct {
	// Fingerprint is in lower-case hex.
	Fingerprint string    `json:"fingerprint"`
	Servers     []string  `json:"servers"`
	Reason      string    `json:"reason"`
	Until       time.Time `json:"until"`
}

// ListResponse is the answer to a list request.
type ListResponse struct {
	Entries []Entry `json:"entries"`
}

// ReleaseRequest asks for the end of a quarantine.
type ReleaseRequest struct {
	Fingerprint string `json:"fingerprint"`
	Actor       string `json:"actor"`
}

// ReleaseResponse is the answer to a release.
type ReleaseResponse struct {
	Fingerprint string `json:"fingerprint"`
	Released    bool   `json:"released"`
}

// Routes adds the admin handlers.
func (d *Manager) Routes(s *operator.Server) {
	s.Admin(http.MethodGet, "quarantine", func(context.Context, operator.Request) (any, error) { return d.list(), nil })
	s.Admin(http.MethodPost, "quarantine/release", d.release)
}

func (d *Manager) list() ListResponse {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := ListResponse{Entries: []Entry{}}
	for _, e := range d.ledger.List() {
		out.Entries = append(out.Entries, Entry{Fingerprint: hex.EncodeToString(e.Fingerprint), Servers: e.Servers,
			Reason: e.Reason, Until: time.UnixMilli(e.UntilMs).UTC()})
	}
	return out
}

func (d *Manager) release(ctx context.Context, r operator.Request) (any, error) {
	var in ReleaseRequest
	if err := json.Unmarshal(r.Body, &in); err != nil {
		return nil, api.Invalid("", "the body is not a release: %v", err)
	}
	fingerprint, err := hex.DecodeString(in.Fingerprint)
	if err != nil || len(fingerprint) == 0 {
		return nil, api.Invalid("fingerprint", "%q is not a fingerprint in hex", in.Fingerprint)
	}
	if in.Actor == "" || in.Actor == quarantine.ActorRanAlone {
		return nil, api.Invalid("actor", "a release names its actor")
	}
	if d.Verdict(fingerprint) == quarantine.Clear {
		return nil, api.NotFound("fingerprint", "the request is neither quarantined nor suspected")
	}
	if err := d.publish(ctx, cleared(fingerprint, in.Actor, time.Now().UnixMilli())); err != nil {
		refusal := api.Unavailable(api.CodeLogUnavailable, time.Second, "the release was not read back from the log")
		refusal.Outcome, refusal.Err = api.Unknown, err
		return nil, refusal
	}
	releases.Add(1)
	d.audit("quarantine-release", "operator", in.Actor, fingerprint, "quarantined", "released")
	return ReleaseResponse{Fingerprint: in.Fingerprint, Released: true}, nil
}
