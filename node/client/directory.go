package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// Directory is the adapter for the platform's list of instances and servers.
type Directory struct{ client *unaryClient }

// WeightStore is the adapter for the weight store.
type WeightStore struct{ client *unaryClient }

var (
	_ port.Directory   = (*Directory)(nil)
	_ port.WeightStore = (*WeightStore)(nil)
)

// NewDirectory returns an adapter for the directory at addr, an IP address and port.
func NewDirectory(addr string, o Options) *Directory { return &Directory{newUnaryClient(addr, o)} }

// NewWeightStore returns an adapter for the store at addr, an IP address and port.
func NewWeightStore(addr string, o Options) *WeightStore {
	return &WeightStore{newUnaryClient(addr, o)}
}

// List implements port.Directory. All its errors match port.ErrUnavailable.
func (d *Directory) List(ctx context.Context) (port.Listing, error) {
	var l port.Listing
	resp, _, err := d.client.do(ctx, http.MethodGet, "/v1/listing", nil, nil, d.client.opts.CallTimeout)
	if err != nil {
		return l, transportError(false, err)
	}
	if resp.status != http.StatusOK {
		return l, transportError(false, statusError(resp.status, resp.body, resp.retryAfter))
	}
	if err := json.Unmarshal(resp.body, &l); err != nil {
		return port.Listing{}, transportError(false, err)
	}
	return l, nil
}

// Register adds or renews an instance in the directory. It is only used with the
// stand-in: in a deployment the platform registers instances.
func (d *Directory) Register(ctx context.Context, e port.InstanceEntry) error {
	return d.post(ctx, "/v1/instances", e)
}

// RegisterServer adds or renews a server in the directory, as Register does for
// instances.
func (d *Directory) RegisterServer(ctx context.Context, e port.ServerEntry) error {
	return d.post(ctx, "/v1/servers", e)
}

func (d *Directory) post(ctx context.Context, uri string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, sent, err := d.client.do(ctx, http.MethodPost, uri, nil, body, d.client.opts.CallTimeout)
	if err != nil {
		return transportError(sent, err)
	}
	if resp.status/100 != 2 {
		return statusError(resp.status, resp.body, resp.retryAfter)
	}
	return nil
}

// Reserve implements port.WeightStore. A lost response is port.ErrOutcomeUnknown,
// because the grant may count against the rate limit.
func (s *WeightStore) Reserve(ctx context.Context, ref port.WeightRef) (port.Grant, error) {
	var g port.Grant
	body, err := json.Marshal(ref)
	if err != nil {
		return g, err
	}
	resp, sent, err := s.client.do(ctx, http.MethodPost, "/v1/grants", nil, body, s.client.opts.CallTimeout)
	if err != nil {
		return g, transportError(sent, err)
	}
	if resp.status != http.StatusOK {
		return g, statusError(resp.status, resp.body, resp.retryAfter)
	}
	if err := json.Unmarshal(resp.body, &g); err != nil {
		return port.Grant{}, transportError(true, err)
	}
	return g, nil
}
