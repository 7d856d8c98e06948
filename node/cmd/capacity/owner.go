package main

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/domain/ident"
	"github.com/jacinthnotch/jacinthnotch/domain/record"
	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/owner"
	"github.com/jacinthnotch/jacinthnotch/node/port"
	"github.com/jacinthnotch/jacinthnotch/node/store"
	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

const (
	workspace = "workspace-007"
	// appendLatency is the simulated duration of an append.
	appendLatency = 5 * time.Millisecond
	runTimeout    = 2 * time.Minute
)

// memLog is an in-memory implementation of port.Log.
type memLog struct {
	mu       sync.Mutex
	streams  map[string][]port.Record
	appended chan struct{}
	appends  int
}

func newMemLog() *memLog {
	return &memLog{streams: map[string][]port.Record{}, appended: make(chan struct{})}
}

// Append implements port.Log.
func (l *memLog) Append(_ context.Context, stream string, payload []byte) (int64, error) {
	time.Sleep(appendLatency)
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := int64(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], port.Record{Offset: offset, Payload: slices.Clone(payload)})
	l.appends++
	close(l.appended)
	l.appended = make(chan struct{})
	return offset, nil
}

// Read implements port.Log.
func (l *memLog) Read(ctx context.Context, stream string, from int64, maxBytes int, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		l.mu.Lock()
		records, appended := l.streams[stream], l.appended
		l.mu.Unlock()
		page := port.Page{End: int64(len(records))}
		for size := 0; from < page.End && (size == 0 || size < maxBytes); from++ {
			page.Records, size = append(page.Records, records[from]), size+len(records[from].Payload)
		}
		if len(page.Records) > 0 || ctx.Err() != nil {
			return page, nil
		}
		select {
		case <-appended:
		case <-ctx.Done():
		}
	}
}

// logPosition marks a point in the log from which later appends are counted.
type logPosition struct {
	appends int
	lengths map[string]int
}

func (l *memLog) position() logPosition {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := logPosition{appends: l.appends, lengths: map[string]int{}}
	for name, r := range l.streams {
		m.lengths[name] = len(r)
	}
	return m
}

// since returns the number of appends after a position, and their size after (bytes) and
// before (raw) zstd compression.
func (l *memLog) since(m logPosition) (appends, bytes, raw float64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, records := range l.streams {
		for _, r := range records[m.lengths[name]:] {
			bytes += float64(len(r.Payload))
			b, err := record.Decode(r.Payload)
			if err != nil {
				return 0, 0, 0, err
			}
			raw += float64(proto.Size(b))
		}
	}
	return float64(l.appends - m.appends), bytes, raw, nil
}

// soleInstance is the preference of a fleet whose only instance is a.
type soleInstance struct{}

func (soleInstance) Preferred(int) (string, bool)  { return "a", true }
func (soleInstance) Address(string) (string, bool) { return "", false }
func (soleInstance) Alive(instance string) bool    { return instance == "a" }
func (soleInstance) Changes() <-chan struct{}      { return nil }

// partitionOwner is an instance that owns the only partition.
type partitionOwner struct {
	log     *memLog
	manager *owner.Manager
	store   *store.Store
	stop    func()
}

// startOwner starts an instance and waits until it has claimed the partition.
func startOwner() (*partitionOwner, error) {
	h := &partitionOwner{log: newMemLog()}
	h.manager = owner.NewManager(owner.Options{Instance: "a", Incarnation: 1, Partitions: 1, Log: h.log, Preference: soleInstance{}})
	h.store = store.New(store.Options{Instance: "a", Partitions: 1, Local: h.manager, Preference: soleInstance{}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { h.manager.Run(ctx) })
	h.stop = func() { cancel(); wg.Wait() }
	return h, waitUntil(5*time.Second, func() bool { return h.log.position().appends > 0 })
}

func measureItems(f *Figures, quick bool) error {
	sizes := []int{1000, 5000, 20_000}
	if quick {
		sizes = []int{500, 2000}
	}
	for _, n := range sizes {
		row, err := runJob(n)
		if err != nil {
			return err
		}
		f.Items = append(f.Items, row)
	}
	return nil
}

// runJob uploads a file, creates a job and lets 16 directors run its items.
func runJob(n int) (row ItemRow, err error) {
	h, err := startOwner()
	if err != nil {
		return row, err
	}
	defer h.stop()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	w, per := newTextGenerator(uint64(n)), float64(n)
	lines, answers := make([][]byte, n), make([][]byte, n)
	file := api.File{Workspace: workspace, Name: "items.jsonl", Purpose: "batch", Lines: n}
	digest := sha256.New()
	for i := range n {
		lines[i], answers[i] = w.inputLine(i, assumptions.ItemInput), w.resultBody(i, assumptions.ItemResult)
		digest.Write(lines[i])
		file.Bytes += int64(len(lines[i]) + 1)
	}
	file.Digest = digest.Sum(nil)
	file.ID = ident.FileID(workspace, file.Purpose, file.Digest, 1)
	row.Items = n
	at := h.log.position()
	row.UploadCPU = cpuSeconds(func() { _, err = h.store.PutFile(ctx, file, slices.Values(lines)) }) / per
	if err != nil {
		return row, fmt.Errorf("upload: %w", err)
	}
	if row.UploadAppends, row.UploadBytes, row.UploadFolded, err = h.log.since(at); err != nil {
		return row, err
	}
	spec := api.JobSpec{ID: ident.JobID(workspace, "k", "", 0), Workspace: workspace, Key: "k", FileID: file.ID, Endpoint: chatPath,
		Model: modelName, Items: n, Due: time.Now().Add(24 * time.Hour), Weight: 100, Window: "24h"}
	if _, err = h.store.Create(ctx, spec); err != nil {
		return row, fmt.Errorf("create: %w", err)
	}
	at = h.log.position()
	var errs []error
	row.CPU = cpuSeconds(func() { errs = h.runItems(ctx, spec.ID, answers) }) / per
	if err = errors.Join(errs...); err != nil {
		return row, err
	}
	if row.Appends, row.Folded, row.LogBytes, err = h.log.since(at); err != nil {
		return row, err
	}
	row.UploadBytes, row.UploadFolded = row.UploadFolded/per, row.UploadBytes/per
	row.Appends, row.Folded, row.LogBytes, row.UploadAppends = row.Appends/per, row.Folded/per, row.LogBytes/per, row.UploadAppends/per
	return row, nil
}

// runItems pulls all items and pushes their results, as several concurrent directors do.
func (h *partitionOwner) runItems(ctx context.Context, job string, answers [][]byte) []error {
	const directors, batch = 16, 64
	var wg sync.WaitGroup
	errs := make([]error, directors)
	for d := range directors {
		wg.Go(func() {
			name := fmt.Sprint("director-", d)
			for ctx.Err() == nil {
				out, err := h.manager.PullItems(ctx, &peerpb.PullItemsRequest{Director: name, Model: modelName, Server: "s", MaxItems: batch})
				if errs[d] = err; err != nil || len(out.Items) == 0 {
					return
				}
				in := &peerpb.PushResultsRequest{Director: name, JobId: job}
				for _, it := range out.Items {
					in.Results = append(in.Results, &recordpb.ItemResult{Item: it.Index, Outcome: recordpb.Outcome_OUTCOME_DONE,
						CustomId: fmt.Sprintf("item-%07d", it.Index), Status: 200, Body: answers[it.Index], OutputTokens: 250})
				}
				resp, err := h.manager.PushResults(ctx, in)
				if err == nil && resp.Refusal != nil {
					err = errors.New(resp.Refusal.Message)
				}
				if errs[d] = err; err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	return errs
}

func measureCalls(f *Figures, quick bool) error {
	n := 8000
	if quick {
		n = 800
	}
	for _, c := range []struct {
		nonIdempotent bool
		callers       int
	}{{false, 8}, {false, 256}, {true, 8}, {true, 256}} {
		row, err := runCalls(c.nonIdempotent, n*min(c.callers, 64)/64, c.callers)
		if err != nil {
			return err
		}
		f.Calls = append(f.Calls, row)
	}
	return nil
}

// runCalls begins and finishes n keyed calls from a number of concurrent callers.
func runCalls(nonIdempotent bool, n, callers int) (row CallRow, err error) {
	h, err := startOwner()
	if err != nil {
		return row, err
	}
	defer h.stop()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	w := newTextGenerator(9)
	bodies := make([][]byte, 64)
	for i := range bodies {
		bodies[i] = w.resultBody(i, assumptions.ItemResult)
	}
	at, errs := h.log.position(), make([]error, callers)
	runCall := func(i int) error {
		key := fmt.Sprintf("0194f3c2-7d1a-7000-8000-%012d", i)
		fingerprint := ident.Fingerprint("POST", chatPath, []byte(key))
		b, err := h.store.Begin(ctx, api.BeginRequest{Workspace: workspace, Key: key, Fingerprint: fingerprint, NonIdempotent: nonIdempotent,
			Deadline: time.Now().Add(time.Minute)})
		if err != nil || b.State != api.StateMayRun {
			return fmt.Errorf("begin: state %d, %w", b.State, err)
		}
		_, err = h.store.Finish(ctx, api.FinishRequest{Workspace: workspace, Key: key, Fingerprint: fingerprint, NonIdempotent: nonIdempotent,
			Result: api.CallResult{Outcome: api.Ran, FinishedAt: time.Now(), Answer: api.Answer{Status: 200, Body: bodies[i%len(bodies)]}}})
		return err
	}
	row = CallRow{NonIdempotent: nonIdempotent, Calls: callers}
	row.CPU = cpuSeconds(func() {
		var wg sync.WaitGroup
		for c := range callers {
			wg.Go(func() {
				for i := c; i < n && errs[c] == nil; i += callers {
					errs[c] = runCall(i)
				}
			})
		}
		wg.Wait()
	}) / float64(n)
	if err := errors.Join(errs...); err != nil {
		return row, err
	}
	if row.Appends, row.Folded, row.LogBytes, err = h.log.since(at); err != nil {
		return row, err
	}
	row.Appends, row.Folded, row.LogBytes = row.Appends/float64(n), row.Folded/float64(n), row.LogBytes/float64(n)
	return row, nil
}
