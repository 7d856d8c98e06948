package batchapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"iter"
	"mime/multipart"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

// fakeJobs implements api.Jobs in memory.
type fakeJobs struct {
	mu      sync.Mutex
	files   map[string]api.File
	lines   map[string][][]byte
	keys    map[string]api.BindKeyRequest
	jobs    map[string]api.Job
	results []api.ItemResult
	// readErr, if set, is returned by FileContent and Results after the first line.
	readErr error
	now     time.Time
}

func (f *fakeJobs) BindKey(_ context.Context, req api.BindKeyRequest) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := req.Workspace + "/" + req.Key
	old, ok := f.keys[k]
	if !ok {
		f.keys[k] = req
		return req.JobID, nil
	}
	if !bytes.Equal(old.Content, req.Content) {
		return "", &api.Refusal{Code: api.CodeKeyConflict, Status: http.StatusConflict, Outcome: api.NotRun, Message: "other content"}
	}
	return old.JobID, nil
}

func (f *fakeJobs) PutFile(_ context.Context, file api.File, lines iter.Seq[[]byte]) (api.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	file.CreatedAt = f.now
	f.lines[file.ID] = nil
	for line := range lines {
		f.lines[file.ID] = append(f.lines[file.ID], bytes.Clone(line))
	}
	f.files[file.ID] = file
	return file, nil
}

func (f *fakeJobs) FileInfo(_ context.Context, workspace, id string) (api.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if file, ok := f.files[id]; ok && file.Workspace == workspace {
		return file, nil
	}
	return api.File{}, api.NotFound("file_id", "no such file")
}

func (f *fakeJobs) FileContent(ctx context.Context, workspace, id string, first int, fn func([]byte) error) error {
	if _, err := f.FileInfo(ctx, workspace, id); err != nil {
		return err
	}
	for _, line := range f.lines[id][first:] {
		if err := fn(line); err != nil {
			return err
		}
		if f.readErr != nil {
			return f.readErr
		}
	}
	return nil
}

func (f *fakeJobs) Files(_ context.Context, workspace, _ string, limit int) (api.FilePage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var page api.FilePage
	for _, file := range f.files {
		if file.Workspace == workspace {
			page.Files = append(page.Files, file)
		}
	}
	page.More = len(page.Files) > limit
	page.Files = page.Files[:min(limit, len(page.Files))]
	return page, nil
}

func (f *fakeJobs) Create(_ context.Context, spec api.JobSpec) (api.Job, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if job, ok := f.jobs[spec.ID]; ok {
		return job, nil
	}
	job := api.Job{JobSpec: spec, Status: api.JobInProgress, CreatedAt: f.now}
	f.jobs[spec.ID] = job
	return job, nil
}

func (f *fakeJobs) Get(_ context.Context, workspace, id string) (api.Job, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if job, ok := f.jobs[id]; ok && job.Workspace == workspace {
		return job, nil
	}
	return api.Job{}, api.NotFound("batch_id", "no such batch")
}

func (f *fakeJobs) List(_ context.Context, workspace, _ string, _ int) (api.JobPage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var page api.JobPage
	for _, job := range f.jobs {
		if job.Workspace == workspace {
			page.Jobs = append(page.Jobs, job)
		}
	}
	return page, nil
}

func (f *fakeJobs) Cancel(ctx context.Context, workspace, id, _ string) (api.Job, error) {
	job, err := f.Get(ctx, workspace, id)
	if err != nil {
		return job, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	job.Status, job.CancelledAt = api.JobCancelled, f.now
	f.jobs[id] = job
	return job, nil
}

func (f *fakeJobs) Results(_ context.Context, _, _ string, fn func(*api.ItemResult) error) error {
	for i := range f.results {
		if err := fn(&f.results[i]); err != nil {
			return err
		}
		if f.readErr != nil {
			return f.readErr
		}
	}
	return nil
}

type fakeConfig struct{ view *api.View }

func (f fakeConfig) View() *api.View { return f.view }

type harness struct {
	t    *testing.T
	jobs *fakeJobs
	api  *API
	url  string
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, jobs: &fakeJobs{files: map[string]api.File{}, lines: map[string][][]byte{},
		keys: map[string]api.BindKeyRequest{}, jobs: map[string]api.Job{}, now: time.Unix(1_700_000_000, 0)}}
	view := &api.View{Models: map[string]api.Model{"m": {Name: "m"}}, Workspaces: map[string]api.Workspace{
		"north": {KeyHashes: []api.KeyHash{sha256.Sum256([]byte("north-key"))}, Weight: 250},
		"south": {KeyHashes: []api.KeyHash{sha256.Sum256([]byte("south-key"))}}}}
	h.api = New(Options{Jobs: h.jobs, Partitions: 64, Limits: Limits{BodyBytes: 1 << 16, FileBytes: 1 << 16, FileLines: 100,
		LineBytes: 1 << 10, UploadMemoryBytes: 2 << 20, ReadTimeout: time.Minute, MinReadRate: 1, RequestTimeout: time.Minute}})
	app := fiber.New(fiber.Config{StreamRequestBody: true, DisablePreParseMultipartForm: true, Immutable: true,
		// Uploads are larger than BodyLimit, so they have to be streamed.
		BodyLimit: 1 << 10})
	h.api.Register(app, &web.Middleware{Config: fakeConfig{view}})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.url = "http://" + ln.Addr().String()
	serveErr := make(chan error, 1)
	go func() { serveErr <- app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() {
		if err := app.Shutdown(); err != nil {
			t.Errorf("Shutdown: %v", err)
		}
		h.api.Close()
		<-serveErr
		if used := h.api.uploadMemory.used.Load(); used != 0 {
			t.Errorf("%d bytes of upload memory were not released", used)
		}
	})
	return h
}

// do sends a request and returns the status and the body of the response. The error
// is that of the connection.
func (h *harness) do(key, method, path, contentType, body string, headers ...string) (int, string, error) {
	h.t.Helper()
	req, err := http.NewRequestWithContext(h.t.Context(), method, h.url+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

// encodeForm encodes a multipart form. fields holds names and values alternately, in the
// order of the form.
func encodeForm(fields ...string) (contentType, body string) {
	var buf bytes.Buffer
	w := multipart.NewWriter(&buf)
	for i := 0; i+1 < len(fields); i += 2 {
		h := textproto.MIMEHeader{"Content-Disposition": {`form-data; name="` + fields[i] + `"`}}
		if fields[i] == "file" {
			h.Set("Content-Disposition", `form-data; name="file"; filename="in.jsonl"`)
		}
		part, err := w.CreatePart(h)
		if err == nil {
			_, err = io.WriteString(part, fields[i+1])
		}
		if err != nil {
			panic(err)
		}
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return w.FormDataContentType(), buf.String()
}

func batchLine(id string) string {
	return `{"custom_id":"` + id + `","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[]}}`
}

var errOwnerUnavailable = errors.New("the owner is unavailable")
