package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/partition"
	plan "github.com/jacinthnotch/jacinthnotch/domain/placement"
	"github.com/jacinthnotch/jacinthnotch/node/batchapi"
	"github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/director"
	"github.com/jacinthnotch/jacinthnotch/node/entry"
	"github.com/jacinthnotch/jacinthnotch/node/inference"
	"github.com/jacinthnotch/jacinthnotch/node/owner"
	"github.com/jacinthnotch/jacinthnotch/node/placement"
	"github.com/jacinthnotch/jacinthnotch/node/plain"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/node/store"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

const (
	// instancesPerServer is the number of instances that use the same server, and
	// minServersPerInstance the minimum number of servers that an instance uses. In a
	// fleet of 12 instances every instance uses every server; with 390 instances, each
	// reads the load of about 45 of 740 servers.
	instancesPerServer    = 24
	minServersPerInstance = 16
	// probeConnMaxAge is so short that every probe opens a new connection.
	probeConnMaxAge = time.Nanosecond
)

// service holds the components that run once there is a configuration.
type service struct {
	pool     *servers.Pool
	director *director.Director
	owner    *owner.Manager
	store    *store.Store
	batch    *batchapi.API
	entry    *entry.Server
	engines  *client.Pool
	probes   *client.Pool
}

// peerHandler dispatches RPCs of peers to the services that are registered so far.
type peerHandler Instance

// HandleRPC implements drpc.Handler.
func (h *peerHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return h.mux.Load().HandleRPC(stream, rpc)
}

// startService creates and starts the components that serve callers and peers. The
// durations that it takes from the document stay in effect until the instance ends.
func (i *Instance) startService(doc *config.Document) error {
	if doc.Fleet.Partitions != int(i.settings.Partitions) {
		return fmt.Errorf("the settings say %d partitions, the configuration %d; the number is fixed when a fleet is set up",
			i.settings.Partitions, doc.Fleet.Partitions)
	}
	s := &service{engines: client.NewPool(client.Options{}),
		probes: client.NewPool(client.Options{IdleTimeout: probeConnMaxAge, MaxConnAge: probeConnMaxAge})}
	i.assemblePool(s)
	i.assembleOwner(s, doc)
	s.director = director.New(director.Options{Instance: i.settings.Instance, Pool: s.pool, Locator: i.members, Peers: i.peers, Audit: i.auditor,
		Source: &director.Source{Instance: i.settings.Instance, Local: s.owner, Peers: i.peers, Backlog: i.backlogOwners, Address: i.members.Address, OwnerOf: i.jobOwner}})
	if err := i.assembleEdge(s); err != nil {
		return err
	}
	mux := drpcmux.New()
	batchServer := &director.Server{LocalOwner: s.owner, Director: s.director}
	if err := errors.Join(i.members.Register(mux), i.follower.Register(mux), s.owner.Register(mux, batchServer)); err != nil {
		return err
	}
	listener, err := i.callersListener()
	if err != nil {
		return err
	}
	i.mux.Store(mux)
	i.startComponent("servers", func(ctx context.Context) error { s.pool.Run(ctx); return nil })
	i.startComponent("partitions", func(ctx context.Context) error { s.owner.Run(ctx); return nil })
	i.startComponent("batch direction", func(ctx context.Context) error { s.director.Run(ctx); return nil })
	i.startComponent("placement", func(ctx context.Context) error { i.newPlacement(s).Run(ctx); return nil })
	i.wg.Go(func() {
		i.supervise("callers' listener", func() error {
			err := s.entry.Serve(listener)
			if err == nil && !i.Draining() && i.ctx.Err() == nil {
				err = errors.New("ended without an error")
			}
			return err
		})
	})
	i.activeService.Store(s)
	// These leaving marks arrived before activeService was set. Later ones are passed on
	// by serverLeaving.
	for _, id := range i.members.LeavingServers() {
		s.pool.MarkLeaving(id)
	}
	return nil
}

func (i *Instance) assemblePool(s *service) {
	dialer := net.Dialer{Timeout: client.DefaultDialTimeout}
	s.pool = servers.New(servers.Options{
		Instance: i.settings.Instance, DataCentre: i.settings.DataCentre, Directory: i.directory, Document: i.follower.Document,
		NewEngine: func(address string) port.Engine { return client.NewEngine(address, s.engines) },
		NewPlain:  func(address string) port.PlainService { return client.NewPlain(address, s.engines) },
		NewProbe:  func(address string) port.Engine { return client.NewEngine(address, s.probes) },
		ProbePlain: func(ctx context.Context, address string) error {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return err
			}
			return conn.Close()
		},
		Members: i.members.StayingMembers, InstancesPerServer: instancesPerServer, MinServers: minServersPerInstance, BatchAssignment: i.members,
		Quarantine: i.quarantine, Audit: i.auditor, Metrics: servingMetrics,
	})
}

func (i *Instance) assembleOwner(s *service, doc *config.Document) {
	hoursToMs := func(n int) int64 { return (time.Duration(n) * time.Hour).Milliseconds() }
	resultRetentionMs := hoursToMs(doc.Fleet.ResultRetentionHours)
	s.owner = owner.NewManager(owner.Options{
		Instance: i.settings.Instance, Incarnation: i.incarnation, Partitions: int(i.settings.Partitions), Log: i.log,
		Preference: i.members, Peers: i.peers, Audit: i.auditor,
		Retention: partition.Retention{CallMs: doc.Fleet.CallRetention(i.settings.Limits.MaxDeadline.Std()).Milliseconds(),
			KeyMs: hoursToMs(doc.Fleet.JobKeyRetentionHours), JobMs: resultRetentionMs, FileMs: resultRetentionMs},
		LogRetention:  time.Duration(doc.Fleet.LogRetentionHours) * time.Hour,
		LeaseDuration: time.Duration(doc.Fleet.ItemLeaseMs) * time.Millisecond,
	})
	s.store = store.New(store.Options{Instance: i.settings.Instance, Partitions: int(i.settings.Partitions),
		Local: s.owner, Preference: i.members, Peers: i.peers})
}

func (i *Instance) newPlacement(s *service) *placement.Controller {
	weights := client.NewWeightStore(hostOf(i.settings.Platform.Weights), client.Options{CallTimeout: i.settings.Platform.Timeout.Std()})
	return placement.New(placement.Options{Instance: i.settings.Instance, Partitions: int(i.settings.Partitions), Owner: s.owner,
		Document: i.follower.Document, Directory: i.directory, Weights: weights, Leaving: i.members.ServerLeaving, Audit: i.auditor,
		NewEngine: func(address string) port.Engine { return client.NewEngine(address, s.engines) },
		Settings:  plan.DefaultSettings()})
}

func (i *Instance) assembleEdge(s *service) error {
	s.batch = batchapi.New(batchapi.Options{Jobs: s.store, Limits: batchapi.LimitsFromSettings(i.settings), Partitions: int(i.settings.Partitions)})
	s.entry = entry.New(entry.Options{Calls: s.store, Inference: inference.New(s.pool), Plain: plain.New(s.pool), Config: i.follower,
		Status: i, Limits: entry.LimitsOf(i.settings), Loopback: i.settings.CallersOnLoopback(),
		Routes: func(router fiber.Router, middleware *web.Middleware) { s.batch.Register(router, middleware) }})
	return nil
}

// callersListener returns the callers' listener, with TLS if the settings name certificate
// files.
func (i *Instance) callersListener() (net.Listener, error) {
	t := i.settings.TLS
	if t.CertFile == "" {
		return i.callers, nil
	}
	certificates, err := web.LoadCertificates(t.CertFile, t.KeyFile, t.ReloadInterval.Std(), time.Now)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(i.callers, certificates.TLSConfig()), nil
}

// backlogOwners returns the partition owners with a backlog of a model. The backlog of
// this instance is current, while those of the others are announced with a delay.
func (i *Instance) backlogOwners(model string) []director.Owner {
	var out []director.Owner
	for _, b := range i.backlog() {
		if b.Model == model && b.Items > 0 {
			out = append(out, director.Owner{Instance: i.settings.Instance, Items: int(b.Items), Due: time.UnixMilli(b.EarliestDueMs)})
		}
	}
	for _, b := range i.members.Backlogs(model) {
		if address, ok := i.members.Address(b.Instance); ok && b.Instance != i.settings.Instance {
			out = append(out, director.Owner{Instance: b.Instance, Address: address, Items: int(b.Items), Due: time.UnixMilli(b.EarliestDueMs)})
		}
	}
	return out
}

// jobOwner returns the preferred owner of a job's partition, or false if none is known.
func (i *Instance) jobOwner(job string) (director.Owner, bool) {
	p, err := ident.JobPartition(job)
	if err != nil {
		return director.Owner{}, false
	}
	instance, self := i.members.Preferred(p)
	address, known := i.members.Address(instance)
	return director.Owner{Instance: instance, Address: address}, self || known
}

// stop shuts down the callers' listener, waiting for requests in progress until ctx ends,
// and the batch API.
func (s *service) stop(ctx context.Context) {
	_ = s.entry.Shutdown(ctx)
	s.batch.Close()
}

// close closes the idle connections to backend servers.
func (s *service) close() {
	s.engines.Close()
	s.probes.Close()
}
