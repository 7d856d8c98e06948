package instance

import (
	"context"
	"errors"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/jacinthnotch/jacinthnotch/node/stream"
)

// ErrKilled is the error that Run returns after Kill.
var ErrKilled = errors.New("instance: ended without a drain")

// ErrDrainLimit is the error that Run returns if a drain has taken longer than the
// setting drain_limit.
var ErrDrainLimit = errors.New("instance: the drain reached drain_limit")

// Drain starts a graceful shutdown. The instance reports that it is not ready, still
// accepts work for drain_lag, until the load balancer has noticed, finishes its work and
// leaves the fleet. Then Run returns.
func (i *Instance) Drain() { i.drainOnce.Do(func() { close(i.drainRequested) }) }

// Kill stops the instance immediately, even with work in flight.
func (i *Instance) Kill() { i.cancel(ErrKilled) }

// awaitDrain waits for Drain, performs the drain and ends the instance.
func (i *Instance) awaitDrain() error {
	select {
	case <-i.ctx.Done():
		return nil
	case <-i.drainRequested:
	}
	i.draining.Store(true)
	klog.InfoS("draining started", "instance", i.settings.Instance, "lag", i.settings.DrainLag.Std(), "limit", i.settings.DrainLimit.Std())
	ctx, cancel := context.WithTimeout(i.ctx, i.settings.DrainLimit.Std())
	defer cancel()
	if err := i.runDrain(ctx); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			return ErrDrainLimit
		}
		return err
	}
	i.cancel(errDrained)
	return nil
}

// runDrain performs the steps of a drain. Each step lasts until its work is finished or ctx
// ends.
func (i *Instance) runDrain(ctx context.Context) error {
	if err := (stream.WallClock{}).Sleep(ctx, i.settings.DrainLag.Std()); err != nil {
		return err
	}
	if s := i.activeService.Load(); s != nil {
		if err := i.drainService(ctx, s); err != nil {
			return err
		}
	}
	announceCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := i.members.Exit(announceCtx); err != nil {
		klog.InfoS("announcing exit failed", "instance", i.settings.Instance, "err", err)
	}
	return nil
}

// drainService finishes the callers' requests and the batch work, and releases the
// partitions.
func (i *Instance) drainService(ctx context.Context, s *service) error {
	// The callers' requests and the batch work are finished concurrently, because either
	// may take minutes. Meanwhile requests still use this instance's partitions.
	var work conc.WaitGroup
	var callersErr, batchErr error
	work.Go(func() {
		if callersErr = s.entry.Shutdown(ctx); callersErr == nil {
			s.batch.Close()
		}
	})
	work.Go(func() { batchErr = s.director.Drain(ctx) })
	work.Wait()
	if err := errors.Join(callersErr, batchErr); err != nil {
		return err
	}
	klog.InfoS("requests and batch work finished", "instance", i.settings.Instance)
	// The leaving mark makes the next owners of the partitions wait for their release.
	announceCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := i.members.Leave(announceCtx); err != nil {
		klog.InfoS("announcing departure failed", "instance", i.settings.Instance, "err", err)
	}
	return s.owner.Drain(ctx)
}
