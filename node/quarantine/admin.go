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
	Fingerprint string `json:"fingerprint"`
	// Servers are those that died while the request was in flight on them.
	Servers []string  `json:"servers"`
	Reason  string    `json:"reason"`
	Until   time.Time `json:"until"`
}

// ListResponse is the response to a request for the quarantined requests.
type ListResponse struct {
	Entries []Entry `json:"entries"`
}

// ReleaseRequest is a request to end a quarantine.
type ReleaseRequest struct {
	Fingerprint string `json:"fingerprint"`
	Actor       string `json:"actor"`
}

// ReleaseResponse is the response to a ReleaseRequest.
type ReleaseResponse struct {
	Fingerprint string `json:"fingerprint"`
	Released    bool   `json:"released"`
}

// Routes registers the admin handlers.
func (m *Manager) Routes(s *operator.Server) {
	s.HandleAdmin(http.MethodGet, "quarantine", func(context.Context, operator.Request) (any, error) { return m.list(), nil })
	s.HandleAdmin(http.MethodPost, "quarantine/release", m.release)
}

func (m *Manager) list() ListResponse {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := ListResponse{Entries: []Entry{}}
	for _, e := range m.tracker.List() {
		out.Entries = append(out.Entries, Entry{Fingerprint: hex.EncodeToString(e.Fingerprint), Servers: e.Servers,
			Reason: e.Reason, Until: time.UnixMilli(e.UntilMs).UTC()})
	}
	return out
}

func (m *Manager) release(ctx context.Context, r operator.Request) (any, error) {
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
	if m.Verdict(fingerprint) == quarantine.Clear {
		return nil, api.NotFound("fingerprint", "the request is neither quarantined nor suspected")
	}
	if err := m.publish(ctx, clearedEntry(fingerprint, in.Actor, time.Now().UnixMilli())); err != nil {
		refusal := api.Unavailable(api.CodeLogUnavailable, time.Second, "the release was not read back from the log")
		refusal.Outcome, refusal.Err = api.Unknown, err
		return nil, refusal
	}
	releases.Add(1)
	m.audit("quarantine-release", "operator", in.Actor, fingerprint, "quarantined", "released")
	return ReleaseResponse{Fingerprint: in.Fingerprint, Released: true}, nil
}
