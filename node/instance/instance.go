// Package instance assembles one instance of jacinthnotch from its settings:
// the duties of the other packages, their start and their end.
//
// Several instances can run in one process. They share nothing but the expvar
// counters, which are sums over the instances of the process.
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
	// operatorBody bounds the body of one admin request: an edit of a whole
	// document. operatorRequest bounds the work for it; an edit waits for the log.
	operatorBody    = 8 << 20
	operatorRequest = 30 * time.Second
	// configPoll is how often a starting instance looks whether it has the
	// configuration.
	configPoll = 10 * time.Millisecond
	// serversWait is how long a starting instance waits for the listed servers to
	// be described before it serves with those that were.
	serversWait = time.Second
	// flushLimit bounds the writing of the last audit entries.
	flushLimit = 2 * time.Second
	// leaveLimit bounds the announcements of a drain.
	leaveLimit = time.Second
	// killLimit bounds the end of what serves while the instance ends by force.
	killLimit = time.Second
)

// serving holds the counters of all instances of the process.
var serving = metrics.NewServing()

func init() { expvar.Publish("serving", serving.Map()) }

// Options are what an instance needs. Settings is required.
type Options struct {
	Settings *settings.Settings
	// Callers, Operator and Peer are listeners that are open already; those that
	// are nil are opened on the addresses of the settings.
	Callers, Operator, Peer net.Listener
	// Log and Directory replace the adapters for the platform of the settings;
	// nil for none.
	Log       port.Log
	Directory port.Directory
	// Membership replaces the constants of the membership protocol.
	Membership *member.Config
}

// Instance is one instance. It runs once.
type Instance struct {
	settings *settings.Settings
	opts     Options
	born     uint64

	callers, operatorLn, peerLn net.Listener
	log                         port.Log
	directory                   port.Directory
	peers                       *peer.Pool
	peerServer                  *peer.Server
	mux                         atomic.Pointer[drpcmux.Mux]

	members    *members.Members
	follower   *follower.Follower
	auditor    *auditor.Auditor
	quarantine *quarantine.Duty
	operator   *operator.Server
	serve      atomic.Pointer[service]

	ready    atomic.Bool
	draining atomic.Bool
	drain    chan struct{}
	once     sync.Once

	wg     conc.WaitGroup
	cancel context.CancelCauseFunc
	ctx    context.Context
}

var _ api.Status = (*Instance)(nil)

// errDrained ends an instance whose drain is complete.
var errDrained = errors.New("instance: drained")

// New opens the listeners and assembles the instance.
func New(o Options) (*Instance, error) {
	s := o.Settings
	i := &Instance{settings: s, opts: o, born: uint64(time.Now().UnixMilli()), drain: make(chan struct{})}
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

// listen opens the listeners that were not given.
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

// assemble makes the duties that run before the configuration is in force.
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
	i.auditor = auditor.New(auditor.Options{Instance: s.Instance, Incarnation: i.born, Log: i.log, Budget: i.auditBudget})
	i.members = members.New(members.Options{
		Self:        member.Info{ID: s.Instance, Address: i.peerLn.Addr().String(), DataCentre: s.DataCentre, Weight: uint32(s.Weight)},
		Incarnation: i.born, Partitions: int(s.Partitions), Directory: i.directory, Peers: i.peers, Config: i.opts.Membership,
		Audit: i.auditor, OnConfigAhead: i.configAhead, OnServerLeaving: i.serverLeaving, Models: i.models, Backlog: i.backlog,
	})
	i.follower = follower.New(follower.Options{Instance: s.Instance, Log: i.log, Peers: i.peers, Members: i.members.Live,
		Preferred: func() bool { return i.members.IsPreferred("config") }, OnHead: i.members.SetConfigHead, Audit: i.auditor})
	i.quarantine = quarantine.New(quarantine.Options{Instance: s.Instance, Log: i.log, Document: i.follower.Document,
		Preferred: func() bool { return i.members.IsPreferred("quarantine") }, Audit: i.auditor})
	i.operator = operator.New(operator.Options{Status: i, MaxBodyBytes: operatorBody, RequestTimeout: operatorRequest})
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

// Run serves until a drain is complete, which returns nil, until Kill, or until a
// duty fails.
func (i *Instance) Run() error {
	klog.InfoS("Instance starts", "instance", i.settings.Instance, "callers", i.CallersAddress(),
		"operator", i.OperatorAddress(), "peer", i.PeerAddress())
	i.duty("peer listener", func(ctx context.Context) error { return i.peerServer.Serve(ctx) })
	i.duty("operator listener", func(context.Context) error { return i.operator.Serve(i.operatorLn) })
	i.duty("membership", func(ctx context.Context) error { i.members.Run(ctx); return nil })
	i.duty("configuration", func(ctx context.Context) error { i.follower.Run(ctx); return nil })
	i.duty("audit", func(ctx context.Context) error { i.runAuditor(ctx); return nil })
	i.duty("quarantine", func(ctx context.Context) error { i.quarantine.Run(ctx); return nil })
	i.wg.Go(func() { i.guard("start", i.start) })
	i.wg.Go(func() { i.guard("drain", i.awaitDrain) })
	<-i.ctx.Done()
	i.stop()
	i.wg.Wait()
	_ = i.peers.Close()
	if s := i.serve.Load(); s != nil {
		s.close()
	}
	err := context.Cause(i.ctx)
	if errors.Is(err, errDrained) {
		klog.InfoS("Instance ended", "instance", i.settings.Instance)
		return nil
	}
	klog.InfoS("Instance ended early", "instance", i.settings.Instance, "err", err)
	return err
}

// runAuditor writes audit entries, after a drain also the last ones.
func (i *Instance) runAuditor(ctx context.Context) {
	i.auditor.Run(ctx)
	if errors.Is(context.Cause(i.ctx), errDrained) {
		flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushLimit)
		defer cancel()
		i.auditor.Flush(flush)
	}
}

// duty runs f until the instance ends. A duty that ends before that, with or
// without an error, ends the instance.
func (i *Instance) duty(name string, f func(ctx context.Context) error) {
	i.wg.Go(func() {
		i.guard(name, func() error {
			err := f(i.ctx)
			if err == nil && i.ctx.Err() == nil {
				err = errors.New("ended without an error")
			}
			return err
		})
	})
}

// guard turns the error or panic of a part into the end of the instance.
func (i *Instance) guard(name string, f func() error) {
	var err error
	if caught := panics.Try(func() { err = f() }); caught != nil {
		klog.ErrorS(caught.AsError(), "Duty crashed", "instance", i.settings.Instance, "duty", name, "stack", string(debug.Stack()))
		err = caught.AsError()
	}
	if err != nil && i.ctx.Err() == nil {
		i.cancel(fmt.Errorf("instance %s: %s: %w", i.settings.Instance, name, err))
	}
}

// stop ends the listeners after the instance's context has ended.
func (i *Instance) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), killLimit)
	defer cancel()
	if s := i.serve.Load(); s != nil {
		s.stop(ctx)
	}
	_ = i.operator.Shutdown(ctx)
	i.close()
}

// start waits for the configuration, starts what serves and waits for servers.
func (i *Instance) start() error {
	if !i.poll(func() bool {
		ok, _ := i.follower.Ready()
		return ok && i.members.Settled()
	}) {
		return nil
	}
	if err := i.startService(i.follower.Document()); err != nil {
		return err
	}
	began := time.Now()
	if i.poll(func() bool { return i.hasServers(time.Since(began) >= serversWait) }) {
		i.ready.Store(true)
		klog.InfoS("Instance ready", "instance", i.settings.Instance)
	}
	return nil
}

// poll waits for a condition; false when the instance ends or drains before.
func (i *Instance) poll(cond func() bool) bool {
	ticker := time.NewTicker(configPoll)
	defer ticker.Stop()
	for !cond() {
		select {
		case <-i.ctx.Done():
			return false
		case <-i.drain:
			return false
		case <-ticker.C:
		}
	}
	return true
}

// hasServers reports whether the list was read and its servers can be used. A
// server that cannot be reached does not hold the instance back for long.
func (i *Instance) hasServers(late bool) bool {
	ids, read := i.members.Servers()
	pool := i.serve.Load().pool
	for _, id := range ids {
		server := pool.Server(id)
		if !late && (server == nil || !pool.Group(server.Service).Available(id)) {
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

// OwnedPartitions returns the partitions that the instance owns.
func (i *Instance) OwnedPartitions() []int {
	if s := i.serve.Load(); s != nil {
		return s.owner.Owned()
	}
	return nil
}

// CallersAddress returns the address of the callers' listener.
func (i *Instance) CallersAddress() string { return i.callers.Addr().String() }

// OperatorAddress returns the address of the operators' listener.
func (i *Instance) OperatorAddress() string { return i.operatorLn.Addr().String() }

// PeerAddress returns the address of the listener for other instances.
func (i *Instance) PeerAddress() string { return i.peerLn.Addr().String() }

// auditBudget returns the fleet's budget of audit appends and its members.
func (i *Instance) auditBudget() (float64, int) {
	doc := i.follower.Document()
	if doc == nil {
		return 0, 1
	}
	return doc.Fleet.AuditAppendsPerS, len(i.members.Live())
}

func (i *Instance) configAhead(instance, address string, revision int64) {
	i.follower.NotifyNewerRevision(instance, address, revision)
}

func (i *Instance) serverLeaving(server string, leaving bool) {
	if s := i.serve.Load(); s != nil && leaving {
		s.pool.MarkLeaving(server)
	}
}

// models returns the names under which backlogs are announced.
func (i *Instance) models() []string {
	doc := i.follower.Document()
	if doc == nil {
		return nil
	}
	return namesOf(doc)
}

func namesOf(doc *config.Document) []string {
	out := make([]string, 0, len(doc.Models)+len(doc.Adapters))
	for name := range doc.Models {
		out = append(out, name)
	}
	for name := range doc.Adapters {
		out = append(out, name)
	}
	return out
}

// backlog returns what this instance's partitions have pending.
func (i *Instance) backlog() []member.Backlog {
	s := i.serve.Load()
	if s == nil {
		return nil
	}
	var out []member.Backlog
	for _, b := range s.owner.Backlog() {
		out = append(out, member.Backlog{Instance: i.settings.Instance, Model: b.Model, Items: uint32(b.Items), EarliestDueMs: b.EarliestDueMs})
	}
	return out
}
