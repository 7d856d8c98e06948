package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Directory is the adapter for the platform's list.
type Directory struct{ short *short }

// WeightStore is the adapter for the weight store.
type WeightStore struct{ short *short }

var (
	_ port.Directory   = (*Directory)(nil)
	_ port.WeightStore = (*WeightStore)(nil)
)

// NewDirectory returns an adapter for the list at addr, an IP address and port.
func NewDirectory(addr string, o Options) *Directory { return &Directory{newShort(addr, o)} }

// NewWeightStore returns an adapter for the store at addr, an IP address and port.
func NewWeightStore(addr string, o Options) *WeightStore { return &WeightStore{newShort(addr, o)} }

// List implements port.Directory. All its failures are ErrUnavailable.
func (d *Directory) List(ctx context.Context) (port.Listing, error) {
	var l port.Listing
	a, _, err := d.short.do(ctx, http.MethodGet, "/v1/listing", nil, nil, d.short.opts.CallTimeout)
	if err != nil {
		return l, failure(false, err)
	}
	if a.status != http.StatusOK {
		return l, failure(false, statusError(a.status, a.body, a.retryAfter))
	}
	if err := json.Unmarshal(a.body, &l); err != nil {
		return port.Listing{}, failure(false, err)
	}
	return l, nil
}

// Register adds or renews an instance on the list. The platform of a deployment
// does this itself; it is used with the stand-in.
func (d *Directory) Register(ctx context.Context, e port.InstanceEntry) error {
	return d.post(ctx, "/v1/instances", e)
}

// RegisterServer adds or renews a server on the list, as Register does.
func (d *Directory) RegisterServer(ctx context.Context, e port.ServerEntry) error {
	return d.post(ctx, "/v1/servers", e)
}

func (d *Directory) post(ctx context.Context, uri string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	a, sent, err := d.short.do(ctx, http.MethodPost, uri, nil, body, d.short.opts.CallTimeout)
	if err != nil {
		return failure(sent, err)
	}
	if a.status/100 != 2 {
		return statusError(a.status, a.body, a.retryAfter)
	}
	return nil
}

// Reserve implements port.WeightStore. A lost answer is ErrOutcomeUnknown: the
// grant may have been counted.
func (s *WeightStore) Reserve(ctx context.Context, ref port.WeightRef) (port.Grant, error) {
	var g port.Grant
	body, err := json.Marshal(ref)
	if err != nil {
		return g, err
	}
	a, sent, err := s.short.do(ctx, http.MethodPost, "/v1/grants", nil, body, s.short.opts.CallTimeout)
	if err != nil {
		return g, failure(sent, err)
	}
	if a.status != http.StatusOK {
		return g, statusError(a.status, a.body, a.retryAfter)
	}
	if err := json.Unmarshal(a.body, &g); err != nil {
		return port.Grant{}, failure(true, err)
	}
	return g, nil
}
