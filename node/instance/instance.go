// Package instance assembles an instance of jacinthnotch from the components in the
// other packages, according to its settings, and starts and stops them.
//
// Several instances can run in one process. They share only the expvar counters, which
// are sums over the instances of the process.
package instance

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"k8s.io/klog/v2"
	"storj.io/drpc/drpcmux"

	"github.com/jacinthnotch/jacinthnotch/domain/config"
	"github.com/jacinthnotch/jacinthnotch/domain/member"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/auditor"
	"github.com/jacinthnotch/jacinthnotch/node/client"
	"github.com/jacinthnotch/jacinthnotch/node/follower"
	"github.com/jacinthnotch/jacinthnotch/node/members"
	"github.com/jacinthnotch/jacinthnotch/node/metrics"
	"github.com/jacinthnotch/jacinthnotch/node/operator"
	"github.com/jacinthnotch/jacinthnotch/node/peer"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/quarantine"
	"github.com/jacinthnotch/jacinthnotch/node/settings"
)

const (
	// maxOperatorBodyBytes limits the body of one admin request, which can be an edit of
	// a whole document. operatorRequestTimeout limits its processing; an edit waits for
	// the log.
	maxOperatorBodyBytes   = 8 << 20
	operatorRequestTimeout = 30 * time.Second
	// startPollInterval is how often a starting instance checks whether it has a
	// configuration and knows its servers.
	startPollInterval = 10 * time.Millisecond
	// maxServersWait is how long a starting instance waits for the listed servers to
	// become available before it serves with those that are.
	maxServersWait = time.Second
	// auditFlushTimeout limits the writing of the last audit entries.
	auditFlushTimeout = 2 * time.Second
	// announceTimeout limits each announcement to the members during a drain.
	announceTimeout = time.Second
	// shutdownTimeout limits how long the HTTP servers wait for requests in progress
	// after the instance has ended.
	shutdownTimeout = time.Second
)

// servingMetrics holds the request counters of all instances of the process.
var servingMetrics = metrics.NewServing()

func init() { expvar.Publish("serving", servingMetrics.Map()) }

// Options configure an Instance. Settings is required.
type Options struct {
	Settings *settings.Settings
	// Callers, Operator and Peer are open listeners. For each one that is nil, New opens
	// a listener on the address in the settings.
	Callers, Operator, Peer net.Listener
	// Log and Directory replace the clients of the platform's log and list that the
	// settings specify, unless they are nil.
	Log       port.Log
	Directory port.Directory
	// Membership replaces the constants of the membership protocol, unless it is nil.
	Membership *member.Config
}

// Instance is one instance of jacinthnotch. It can be run only once.
type Instance struct {
	settings    *settings.Settings
	opts        Options
	incarnation uint64

	callers, operatorLn, peerLn net.Listener
	log                         port.Log
	directory                   port.Directory
	peers                       *peer.Pool
	peerServer                  *peer.Server
	mux                         atomic.Pointer[drpcmux.Mux]

	members       *members.Members
	follower      *follower.Follower
	auditor       *auditor.Auditor
	quarantine    *quarantine.Manager
	operator      *operator.Server
	activeService atomic.Pointer[service]

	ready          atomic.Bool
	draining       atomic.Bool
	drainRequested chan struct{}
	drainOnce      sync.Once

	wg     conc.WaitGroup
	cancel context.CancelCauseFunc
	ctx    context.Context
}

var _ api.Status = (*Instance)(nil)

// errDrained is the cause of the end of an instance whose drain is complete.
var errDrained = errors.New("instance: drained")

// New opens the listeners and creates an instance that does nothing until Run is called.
func New(o Options) (*Instance, error) {
	s := o.Settings
	i := &Instance{settings: s, opts: o, incarnation: uint64(time.Now().UnixMilli()), drainRequested: make(chan struct{})}
	i.ctx, i.cancel = context.WithCancelCause(context.Background())
	if err := i.listen(); err != nil {
		i.close()
		return nil, err
	}
	if err := i.assemble(); err != nil {
		i.close()
		return nil, err
	}
	return i, nil
}

// listen opens the listeners that are not in the options.
func (i *Instance) listen() error {
	for _, l := range []struct {
		name, address string
		given         net.Listener
		to            *net.Listener
	}{
		{"callers", i.settings.Listen.Callers, i.opts.Callers, &i.callers},
		{"operator", i.settings.Listen.Operator, i.opts.Operator, &i.operatorLn},
		{"peer", i.settings.Listen.Peer, i.opts.Peer, &i.peerLn},
	} {
		if *l.to = l.given; l.given != nil {
			continue
		}
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("instance: listener for %s: %w", l.name, err)
		}
		*l.to = ln
	}
	return nil
}

func (i *Instance) close() {
	for _, ln := range []net.Listener{i.callers, i.operatorLn, i.peerLn} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// assemble creates the components that run before there is a configuration.
func (i *Instance) assemble() error {
	s := i.settings
	options := client.Options{CallTimeout: s.Platform.Timeout.Std()}
	if i.log = i.opts.Log; i.log == nil {
		i.log = client.NewLog(hostOf(s.Platform.Log), s.Instance, options)
	}
	if i.directory = i.opts.Directory; i.directory == nil {
		i.directory = client.NewDirectory(hostOf(s.Platform.List), options)
	}
	serverTLS, clientTLS, err := peerTLS(s)
	if err != nil {
		return err
	}
	i.peers = peer.NewPool(clientTLS)
	i.auditor = auditor.New(auditor.Options{Instance: s.Instance, Incarnation: i.incarnation, Log: i.log, Budget: i.auditBudget})
	i.members = members.New(members.Options{
		Self:        member.Info{ID: s.Instance, Address: i.peerLn.Addr().String(), DataCentre: s.DataCentre, Weight: uint32(s.Weight)},
		Incarnation: i.incarnation, Partitions: int(s.Partitions), Directory: i.directory, Peers: i.peers, Config: i.opts.Membership,
		Audit: i.auditor, OnConfigAhead: i.configAhead, OnServerLeaving: i.serverLeaving, Models: i.models, Backlog: i.backlog,
	})
	i.follower = follower.New(follower.Options{Instance: s.Instance, Log: i.log, Peers: i.peers, Members: i.members.Live,
		IsPreferred: func() bool { return i.members.IsPreferred("config") }, OnNewRevision: i.members.SetConfigRevision, Audit: i.auditor})
	i.quarantine = quarantine.New(quarantine.Options{Instance: s.Instance, Log: i.log, Document: i.follower.Document,
		IsPreferred: func() bool { return i.members.IsPreferred("quarantine") }, Audit: i.auditor})
	i.operator = operator.New(operator.Options{Status: i, MaxBodyBytes: maxOperatorBodyBytes, RequestTimeout: operatorRequestTimeout})
	i.follower.Routes(i.operator)
	i.auditor.Routes(i.operator)
	i.quarantine.Routes(i.operator)
	i.routes(i.operator)
	mux := drpcmux.New()
	if err := errors.Join(i.members.Register(mux), i.follower.Register(mux)); err != nil {
		return err
	}
	i.mux.Store(mux)
	i.peerServer = peer.NewServer(i.peerLn, (*peerHandler)(i), serverTLS)
	return nil
}

// Run serves until a drain is complete, Kill is called, or a component fails. It returns
// nil after a complete drain.
func (i *Instance) Run() error {
	klog.InfoS("instance starting", "instance", i.settings.Instance, "callers", i.CallersAddress(),
		"operator", i.OperatorAddress(), "peer", i.PeerAddress())
	i.startComponent("peer listener", func(ctx context.Context) error { return i.peerServer.Serve(ctx) })
	i.startComponent("operator listener", func(context.Context) error { return i.operator.Serve(i.operatorLn) })
	i.startComponent("membership", func(ctx context.Context) error { i.members.Run(ctx); return nil })
	i.startComponent("configuration", func(ctx context.Context) error { i.follower.Run(ctx); return nil })
	i.startComponent("audit", func(ctx context.Context) error { i.runAuditor(ctx); return nil })
	i.startComponent("quarantine", func(ctx context.Context) error { i.quarantine.Run(ctx); return nil })
	i.wg.Go(func() { i.supervise("start", i.start) })
	i.wg.Go(func() { i.supervise("drain", i.awaitDrain) })
	<-i.ctx.Done()
	i.stop()
	i.wg.Wait()
	_ = i.peers.Close()
	if s := i.activeService.Load(); s != nil {
		s.close()
	}
	err := context.Cause(i.ctx)
	if errors.Is(err, errDrained) {
		klog.InfoS("instance stopped", "instance", i.settings.Instance)
		return nil
	}
	klog.InfoS("instance stopped without a complete drain", "instance", i.settings.Instance, "err", err)
	return err
}

// runAuditor runs the auditor. After a complete drain, it writes the remaining entries.
func (i *Instance) runAuditor(ctx context.Context) {
	i.auditor.Run(ctx)
	if errors.Is(context.Cause(i.ctx), errDrained) {
		flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), auditFlushTimeout)
		defer cancel()
		i.auditor.Flush(flushCtx)
	}
}

// startComponent runs f in a goroutine until the instance ends. If f returns before that,
// with or without an error, the instance ends.
func (i *Instance) startComponent(name string, f func(ctx context.Context) error) {
	i.wg.Go(func() {
		i.supervise(name, func() error {
			err := f(i.ctx)
			if err == nil && i.ctx.Err() == nil {
				err = errors.New("ended without an error")
			}
			return err
		})
	})
}

// supervise calls f and ends the instance if f returns an error or panics.
func (i *Instance) supervise(name string, f func() error) {
	var err error
	if caught := panics.Try(func() { err = f() }); caught != nil {
		klog.ErrorS(caught.AsError(), "component panicked", "instance", i.settings.Instance, "duty", name, "stack", string(debug.Stack()))
		err = caught.AsError()
	}
	if err != nil && i.ctx.Err() == nil {
		i.cancel(fmt.Errorf("instance %s: %s: %w", i.settings.Instance, name, err))
	}
}

// stop shuts down the servers and closes the listeners after the instance's context has
// ended.
func (i *Instance) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s := i.activeService.Load(); s != nil {
		s.stop(ctx)
	}
	_ = i.operator.Shutdown(ctx)
	i.close()
}

// start waits for the configuration and the members, starts the service and waits for
// the backend servers. Then the instance is ready.
func (i *Instance) start() error {
	if !i.waitFor(func() bool {
		ok, _ := i.follower.Ready()
		return ok && i.members.Settled()
	}) {
		return nil
	}
	if err := i.startService(i.follower.Document()); err != nil {
		return err
	}
	began := time.Now()
	if i.waitFor(func() bool { return i.hasServers(time.Since(began) >= maxServersWait) }) {
		i.ready.Store(true)
		klog.InfoS("instance ready", "instance", i.settings.Instance)
	}
	return nil
}

// waitFor waits until cond returns true. It returns false if the instance ends or drains
// before that.
func (i *Instance) waitFor(cond func() bool) bool {
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	for !cond() {
		select {
		case <-i.ctx.Done():
			return false
		case <-i.drainRequested:
			return false
		case <-ticker.C:
		}
	}
	return true
}

// hasServers reports whether the platform's list was read and all its servers are
// available. If timedOut is set, the servers need not be available, so that an unreachable
// server does not delay the instance for long.
func (i *Instance) hasServers(timedOut bool) bool {
	ids, read := i.members.Servers()
	pool := i.activeService.Load().pool
	for _, id := range ids {
		server := pool.Server(id)
		if !timedOut && (server == nil || !pool.Group(server.Service).Available(id)) {
			return false
		}
	}
	return read
}

// Ready implements api.Status.
func (i *Instance) Ready() (bool, string) {
	if ok, reason := i.follower.Ready(); !ok {
		return false, reason
	}
	if !i.members.Settled() {
		return false, "the other instances have not answered yet"
	}
	if !i.ready.Load() {
		return false, "the backend servers are not known yet"
	}
	return true, ""
}

// Draining implements api.Status.
func (i *Instance) Draining() bool { return i.draining.Load() }

// OwnedPartitions returns the partitions that this instance owns.
func (i *Instance) OwnedPartitions() []int {
	if s := i.activeService.Load(); s != nil {
		return s.owner.Owned()
	}
	return nil
}

// CallersAddress returns the address of the callers' listener.
func (i *Instance) CallersAddress() string { return i.callers.Addr().String() }

// OperatorAddress returns the address of the operators' listener.
func (i *Instance) OperatorAddress() string { return i.operatorLn.Addr().String() }

// PeerAddress returns the address of the listener for peers.
func (i *Instance) PeerAddress() string { return i.peerLn.Addr().String() }

// auditBudget returns the fleet's limit for audit appends per second, zero before there
// is a configuration, and the number of members that share it.
func (i *Instance) auditBudget() (float64, int) {
	doc := i.follower.Document()
	if doc == nil {
		return 0, 1
	}
	return doc.Fleet.AuditAppendsPerS, len(i.members.Live())
}

// configAhead is called by i.members when a member reports a newer configuration revision.
func (i *Instance) configAhead(instance, address string, revision int64) {
	i.follower.NotifyNewerRevision(instance, address, revision)
}

// serverLeaving is called by i.members when the leaving mark of a server has changed.
func (i *Instance) serverLeaving(server string, leaving bool) {
	if s := i.activeService.Load(); s != nil && leaving {
		s.pool.MarkLeaving(server)
	}
}

// models returns the names of the models and adapters in the configuration.
func (i *Instance) models() []string {
	doc := i.follower.Document()
	if doc == nil {
		return nil
	}
	return modelNames(doc)
}

func modelNames(doc *config.Document) []string {
	out := make([]string, 0, len(doc.Models)+len(doc.Adapters))
	for name := range doc.Models {
		out = append(out, name)
	}
	for name := range doc.Adapters {
		out = append(out, name)
	}
	return out
}

// backlog returns the pending batch items of this instance's partitions by model.
func (i *Instance) backlog() []member.Backlog {
	s := i.activeService.Load()
	if s == nil {
		return nil
	}
	var out []member.Backlog
	for _, b := range s.owner.Backlog() {
		out = append(out, member.Backlog{Instance: i.settings.Instance, Model: b.Model, Items: uint32(b.Items), EarliestDueMs: b.EarliestDueMs})
	}
	return out
}
