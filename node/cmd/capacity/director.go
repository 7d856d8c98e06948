package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/director"
	"github.com/jacinthnotch/jacinthnotch/node/servers"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// jobSource is an in-memory partition owner with one job.
type jobSource struct {
	mu            sync.Mutex
	next, items   int
	done          int
	pulls, pushes int
	inputLine     []byte
}

func (b *jobSource) Owners(string) []director.Owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next >= b.items {
		return nil
	}
	return []director.Owner{{Instance: "owner", Items: b.items - b.next, Due: time.Now().Add(time.Hour)}}
}

func (b *jobSource) Pull(_ context.Context, _ director.Owner, _, _ string, max int) (out []*peerpb.Item, _ error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pulls++
	for ; b.next < b.items && len(out) < max; b.next++ {
		out = append(out, &peerpb.Item{JobId: "job-0000-1", Index: uint32(b.next), Line: b.inputLine, Endpoint: chatPath, Workspace: "w",
			DueMs: time.Now().Add(time.Hour).UnixMilli(), LeaseUntilMs: time.Now().Add(time.Minute).UnixMilli(), Attempt: 1})
	}
	return out, nil
}

func (b *jobSource) Push(_ context.Context, to director.Owner, req *peerpb.PushResultsRequest) (*peerpb.PushResultsResponse, director.Owner, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pushes++
	b.done += len(req.Results)
	return &peerpb.PushResultsResponse{}, to, nil
}

// measureDirector runs batch items through one director on two servers. The figures
// include the processor time of the stand-in engines.
func measureDirector(f *Figures, quick bool) error {
	tokens, items := []int{16, 128}, 2000
	if quick {
		tokens, items = []int{16}, 300
	}
	for _, t := range tokens {
		e, err := startEngines()
		if err != nil {
			return err
		}
		e.tokens.Store(int64(t))
		e.gap.Store(int64(tokenGap))
		p, conns := e.newPool(2, servers.Options{BatchAssignment: assignmentFunc(func(string) bool { return true })})
		b := &jobSource{items: items, inputLine: fmt.Appendf(nil, `{"custom_id":"i","method":"POST","url":%q,"body":{"model":%q,"messages":[{"role":"user","content":%q}]}}`,
			chatPath, modelName, newTextGenerator(5).text(400))}
		d := director.New(director.Options{Instance: "instance-007", Pool: p, Source: b})
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		began, at := processCPU(), time.Now()
		wg.Go(func() { p.Run(ctx) })
		wg.Go(func() { d.Run(ctx) })
		limit := at.Add(25 * time.Second)
		done := func() int { b.mu.Lock(); defer b.mu.Unlock(); return b.done }
		for done() < items && time.Now().Before(limit) {
			time.Sleep(20 * time.Millisecond)
		}
		spent := (processCPU() - began).Seconds()
		n := done()
		cancel()
		wg.Wait()
		conns.Close()
		e.close()
		if n == 0 {
			return fmt.Errorf("no item was completed")
		}
		f.Director = append(f.Director, DirectorRow{Items: n, Tokens: t, CPU: spent / float64(n), Pulls: float64(b.pulls) / float64(n),
			Pushes: float64(b.pushes) / float64(n), Per: float64(n) / time.Since(at).Seconds()})
	}
	return nil
}
