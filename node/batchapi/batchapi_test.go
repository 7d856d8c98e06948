package batchapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthnotch/jacinthnotch/node/api"
	"github.com/jacinthnotch/jacinthnotch/node/web"
)

func (h *harness) upload(key string, lines ...string) fileObject {
	h.t.Helper()
	ct, body := encodeForm("purpose", "batch", "file", strings.Join(lines, "\n"))
	status, answer, err := h.do(key, "POST", "/v1/files", ct, body)
	var f fileObject
	if err == nil {
		err = json.Unmarshal([]byte(answer), &f)
	}
	if err != nil || status != 200 {
		h.t.Fatalf("upload: %d %s, %v", status, answer, err)
	}
	return f
}

// Guards against a file whose lines, order or size differ between upload and
// download, and against access to files of other workspaces.
func TestUploadAndContent(t *testing.T) {
	h := newHarness(t)
	var lines []string
	for i := range 100 {
		lines = append(lines, batchLine(fmt.Sprint("item-", i)))
	}
	want := strings.Join(lines, "\n") + "\n"
	f := h.upload("north-key", lines...)
	if f.Bytes != int64(len(want)) || f.Lines != 100 || f.Filename != "in.jsonl" || f.Purpose != "batch" || f.Object != "file" {
		t.Errorf("file %+v", f)
	}
	if repeated := h.upload("north-key", append(lines, "", "")...); repeated.ID != f.ID {
		t.Errorf("the same content is %s and %s", f.ID, repeated.ID)
	}
	if _, got, err := h.do("north-key", "GET", "/v1/files/"+f.ID+"/content", "", ""); got != want || err != nil {
		t.Errorf("content of %d bytes, want %d, %v", len(got), len(want), err)
	}
	for _, path := range []string{"/v1/files/" + f.ID, "/v1/files/" + f.ID + "/content", "/v1/files/output-x", "/v1/files/x"} {
		if status, body, _ := h.do("south-key", "GET", path, "", ""); status != 404 {
			t.Errorf("%s for another workspace: %d %s", path, status, body)
		}
	}
	if _, body, _ := h.do("south-key", "GET", "/v1/files", "", ""); !strings.Contains(body, `"data":[]`) {
		t.Errorf("list for another workspace: %s", body)
	}
	if _, body, _ := h.do("north-key", "GET", "/v1/files?limit=1", "", ""); !strings.Contains(body, f.ID) {
		t.Errorf("list: %s", body)
	}
}

// Guards against an invalid file that is accepted in part, and against an error that
// does not name the first invalid line and the field.
func TestInvalidFiles(t *testing.T) {
	h := newHarness(t)
	valid := batchLine("a")
	for _, tc := range []struct {
		name, file  string
		status      int
		param, want string
	}{
		{"not JSON", valid + "\n{", 400, "line", "line 2: "},
		{"not an object", "[]", 400, "line", "line 1: "},
		{"blank line", valid + "\n\n" + batchLine("b"), 400, "line", "line 2: "},
		{"not UTF-8", valid + "\n" + strings.Replace(valid, `"a"`, "\"\xff\"", 1), 400, "line", "line 2: "},
		{"no custom_id", strings.Replace(valid, "custom_id", "custom", 1), 400, "custom_id", "line 1: "},
		{"other case", strings.Replace(valid, "custom_id", "Custom_ID", 1), 400, "custom_id", "line 1: "},
		{"empty custom_id", batchLine(""), 400, "custom_id", "line 1: "},
		{"repeated custom_id", valid + "\n" + batchLine("b") + "\n" + valid, 400, "custom_id", `line 3: custom_id: "a" stands on line 1`},
		{"method", strings.Replace(valid, "POST", "GET", 1), 400, "method", "line 1: "},
		{"url", strings.Replace(valid, "chat/completions", "embeddings", 1), 400, "url", "line 1: "},
		{"two urls", valid + "\n" + strings.Replace(batchLine("b"), "chat/", "", 1), 400, "url", "line 2: "},
		{"body", strings.Replace(valid, `{"model":"m","messages":[]}`, `"text"`, 1), 400, "body", "line 1: "},
		{"no model", strings.Replace(valid, `"model":"m",`, ``, 1), 400, "body.model", "line 1: "},
		{"two models", valid + "\n" + strings.Replace(batchLine("b"), `"m"`, `"n"`, 1), 400, "body.model", "line 2: "},
		{"streamed", strings.Replace(valid, `"model"`, `"stream":true,"model"`, 1), 400, "body.stream", "line 1: "},
		{"empty", "\n", 400, "file", "no lines"},
		{"long line", valid + "\n" + batchLine(strings.Repeat("x", 2000)), 413, "file", "line 2 "},
		{"many lines", strings.Repeat("\n", 0) + batchLines(101), 413, "file", "100 lines"},
		{"large", strings.Repeat(" ", 1<<17), 413, "body", "limit"},
	} {
		ct, body := encodeForm("purpose", "batch", "file", tc.file)
		status, answer, err := h.do("north-key", "POST", "/v1/files", ct, body)
		if err != nil {
			t.Fatal(err)
		}
		checkError(t, tc.name, status, answer, tc.status, tc.param, tc.want)
	}
	if len(h.jobs.files) != 0 {
		t.Errorf("%d files were recorded", len(h.jobs.files))
	}
}

func batchLines(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(batchLine(fmt.Sprint(i)) + "\n")
	}
	return b.String()
}

func checkError(t *testing.T, name string, status int, answer string, wantStatus int, param, message string) {
	t.Helper()
	var e web.ErrorBody
	if err := json.Unmarshal([]byte(answer), &e); err != nil || e.Error.Param == nil {
		t.Errorf("%s: %d %s, %v", name, status, answer, err)
		return
	}
	if status != wantStatus || *e.Error.Param != param || !strings.Contains(e.Error.Message, message) {
		t.Errorf("%s: %d %s", name, status, answer)
	}
}

// Guards against accepting a form that is incomplete, ambiguous or truncated.
func TestInvalidForms(t *testing.T) {
	h := newHarness(t)
	for _, tc := range []struct {
		name, param string
		fields      []string
	}{
		{"no purpose", "purpose", []string{"file", batchLine("a")}},
		{"other purpose", "purpose", []string{"file", batchLine("a"), "purpose", "assistants"}},
		{"no file", "file", []string{"purpose", "batch"}},
		{"two files", "file", []string{"purpose", "batch", "file", batchLine("a"), "file", batchLine("b")}},
		{"unknown field", "expires_after[seconds]", []string{"purpose", "batch", "expires_after[seconds]", "60", "file", batchLine("a")}},
	} {
		ct, body := encodeForm(tc.fields...)
		status, answer, _ := h.do("north-key", "POST", "/v1/files", ct, body)
		checkError(t, tc.name, status, answer, 400, tc.param, "")
	}
	status, answer, _ := h.do("north-key", "POST", "/v1/files", "application/json", "{}")
	checkError(t, "JSON", status, answer, 400, "Content-Type", "")
	ct, body := encodeForm("purpose", "batch", "file", batchLine("a"))
	status, answer, _ = h.do("north-key", "POST", "/v1/files", ct, body[:len(body)-20])
	checkError(t, "cut off", status, answer, 400, "body", "")
	if len(h.jobs.files) != 0 {
		t.Errorf("%d files were recorded", len(h.jobs.files))
	}
}

// Guards against uploads whose total memory is not limited.
func TestUploadMemory(t *testing.T) {
	h := newHarness(t)
	if err := h.api.uploadMemory.reserve(2 << 20); err != nil {
		t.Fatal(err)
	}
	ct, body := encodeForm("purpose", "batch", "file", batchLine("a"))
	if status, answer, _ := h.do("north-key", "POST", "/v1/files", ct, body); status != 503 || !strings.Contains(answer, "overloaded") {
		t.Errorf("%d %s", status, answer)
	}
	h.api.uploadMemory.used.Add(-2 << 20)
}

// Guards against truncated content that looks complete to the caller.
func TestTruncatedContent(t *testing.T) {
	h := newHarness(t)
	f := h.upload("north-key", batchLine("a"), batchLine("b"))
	job := h.submit(200, f.ID, "", "")
	h.jobs.results = []api.ItemResult{{CustomID: "a", Outcome: api.Ran, Status: 200, Body: []byte(`{}`)}}
	h.jobs.readErr = errOwnerUnavailable
	for _, id := range []string{f.ID, outputPrefix + job.ID} {
		if status, body, err := h.do("north-key", "GET", "/v1/files/"+id+"/content", "", ""); err == nil {
			t.Errorf("%s: %d, %d bytes without an error", id, status, len(body))
		}
	}
}

func (h *harness) submit(want int, fileID, key, extra string) batchObject {
	h.t.Helper()
	headers := []string{}
	if key != "" {
		headers = []string{web.HeaderIdempotencyKey, key}
	}
	status, answer, err := h.do("north-key", "POST", "/v1/batches", "application/json",
		`{"input_file_id":"`+fileID+`","endpoint":"/v1/chat/completions","completion_window":"24h"`+extra+`}`, headers...)
	var b batchObject
	if err == nil {
		err = json.Unmarshal([]byte(answer), &b)
	}
	if err != nil || status != want {
		h.t.Fatalf("submit: %d %s, %v", status, answer, err)
	}
	return b
}

// Guards against a repeated submission that creates a second job, against a key that
// is accepted for another submission, and against access to jobs of other workspaces.
func TestJobKey(t *testing.T) {
	h := newHarness(t)
	f := h.upload("north-key", batchLine("a"), batchLine("b"))
	first := h.submit(200, f.ID, "k", `,"metadata":{"run":"7"}`)
	if repeated := h.submit(200, f.ID, "k", `,"metadata":{"run":"7"}`); repeated.ID != first.ID {
		t.Errorf("resend: %s, %s", first.ID, repeated.ID)
	}
	h.submit(409, f.ID, "k", "")
	if a, b := h.submit(200, f.ID, "", ""), h.submit(200, f.ID, "", ""); a.ID == b.ID {
		t.Error("two submissions without a key are one job")
	}
	job := h.jobs.jobs[first.ID]
	if job.Items != 2 || job.Model != "m" || job.Weight != 250 || job.Key != "k" || job.Metadata["run"] != "7" ||
		time.Until(job.Due) > 24*time.Hour || first.RequestCounts.Total != 2 || first.Status != "in_progress" {
		t.Errorf("job %+v", job)
	}
	for _, path := range []string{"GET /v1/batches/" + first.ID, "POST /v1/batches/" + first.ID + "/cancel", "GET /v1/batches/x",
		"GET /v1/files/" + outputPrefix + first.ID, "GET /v1/files/" + errorPrefix + first.ID + "/content"} {
		method, path, _ := strings.Cut(path, " ")
		if status, body, _ := h.do("south-key", method, path, "", ""); status != http.StatusNotFound {
			t.Errorf("%s for another workspace: %d %s", path, status, body)
		}
	}
	if _, body, _ := h.do("south-key", "GET", "/v1/batches", "", ""); strings.Contains(body, first.ID) {
		t.Errorf("list for another workspace: %s", body)
	}
	if _, body, _ := h.do("north-key", "POST", "/v1/batches/"+first.ID+"/cancel", "", ""); !strings.Contains(body, `"status":"cancelled"`) {
		t.Errorf("cancel: %s", body)
	}
}

// Guards against accepting a submission with an invalid field.
func TestInvalidSubmissions(t *testing.T) {
	h := newHarness(t)
	f := h.upload("north-key", batchLine("a"))
	base := `{"input_file_id":"` + f.ID + `","endpoint":"/v1/chat/completions","completion_window":"24h"`
	for _, tc := range []struct {
		param, body string
		status      int
	}{
		{"body", `[]`, 400},
		{"input_file_id", `{"endpoint":"/v1/completions"}`, 400},
		{"input_file_id", strings.Replace(base, f.ID, "file-x", 1) + "}", 404},
		{"endpoint", strings.Replace(base, "chat/", "", 1) + "}", 400},
		{"endpoint", strings.Replace(base, "chat/completions", "embeddings", 1) + "}", 400},
		{"completion_window", strings.Replace(base, "24h", "1s", 1) + "}", 400},
		{"completion_window", strings.Replace(base, "24h", "31d", 1) + "}", 400},
		{"metadata", base + `,"metadata":{"a":1}}`, 400},
		{"metadata", base + `,"metadata":{"":"v"}}`, 400},
		{"due_at", base + `,"due_at":99999999999}`, 400},
		{"priority", base + `,"priority":1}`, 400},
	} {
		status, answer, _ := h.do("north-key", "POST", "/v1/batches", "application/json", tc.body)
		checkError(t, tc.body, status, answer, tc.status, tc.param, "")
	}
	if len(h.jobs.jobs) != 0 {
		t.Errorf("%d jobs were created", len(h.jobs.jobs))
	}
}

// Guards against results that are in the wrong file, lack the reason of the failure,
// or lack the identifiers that client libraries expect.
func TestResults(t *testing.T) {
	h := newHarness(t)
	f := h.upload("north-key", batchLine("a"), batchLine("b"), batchLine("c"))
	id := h.submit(200, f.ID, "", "").ID
	h.jobs.results = []api.ItemResult{
		{Item: 0, CustomID: "a", Outcome: api.Ran, Status: 200, Body: []byte(`{"text":"x"}`)},
		{Item: 1, CustomID: "b", Outcome: api.Ran, Failed: true, Status: 400, Body: []byte(`plain`), Code: "server_refused", Message: "no"},
		{Item: 2, CustomID: "c", Outcome: api.Unknown}}
	job := h.jobs.jobs[id]
	job.Status, job.Completed, job.Failed, job.Unknown = api.JobCompleted, 1, 1, 1
	h.jobs.jobs[id] = job
	_, body, _ := h.do("north-key", "GET", "/v1/batches/"+id, "", "")
	for _, want := range []string{`"output_file_id":"output-` + id + `"`, `"error_file_id":"errors-` + id + `"`, `"total":3,"completed":1,"failed":2`} {
		if !strings.Contains(body, want) {
			t.Errorf("batch %s lacks %s", body, want)
		}
	}
	_, out, _ := h.do("north-key", "GET", "/v1/files/output-"+id+"/content", "", "")
	want := `{"id":"` + id + `-0","custom_id":"a","response":{"status_code":200,"request_id":"` + id + `-0","body":{"text":"x"}},"error":null}` + "\n"
	if out != want {
		t.Errorf("output %s, want %s", out, want)
	}
	_, errs, _ := h.do("north-key", "GET", "/v1/files/errors-"+id+"/content", "", "")
	if strings.Count(errs, "\n") != 2 || !strings.Contains(errs, `"error":{"code":"server_refused","message":"no","outcome":"ran"}`) ||
		!strings.Contains(errs, `"custom_id":"c","response":null,"error":{"code":"outcome_unknown"`) {
		t.Errorf("errors %s", errs)
	}
	_, info, _ := h.do("north-key", "GET", "/v1/files/output-"+id, "", "")
	if !strings.Contains(info, fmt.Sprintf(`"bytes":%d,`, len(want))) {
		t.Errorf("file %s", info)
	}
}

// Guards against uploads that take all cores from online requests because the number
// of lines validated at the same time is not limited.
func TestConcurrentLineChecks(t *testing.T) {
	limits := checkLimits{Bytes: 1 << 20, Lines: 1000, LineBytes: 1 << 10, Slots: make(chan struct{}, 2)}
	var running atomic.Int32
	var uploads conc.WaitGroup
	for range 8 {
		uploads.Go(func() {
			_, err := checkLines(strings.NewReader(batchLines(200)), limits, func([]byte) error {
				if n := running.Add(1); n > 2 {
					t.Errorf("%d lines at the same time", n)
				}
				running.Add(-1)
				return nil
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	uploads.Wait()
	if len(limits.Slots) != 0 {
		t.Error("a slot was not released")
	}
}

// FuzzCheckLines guards against files that cause a panic, and against accepted files
// whose kept lines differ from the counted lines and bytes.
func FuzzCheckLines(f *testing.F) {
	f.Add([]byte(batchLine("a") + "\r\n" + batchLine("b") + "\n\n"))
	f.Add([]byte("{\"custom_id\":1}\n"))
	f.Add([]byte("\n\x00\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var kept bytes.Buffer
		summary, err := checkLines(bytes.NewReader(data), checkLimits{Bytes: 1 << 16, Lines: 16, LineBytes: 512}, func(l []byte) error {
			kept.Write(l)
			return kept.WriteByte('\n')
		})
		var r *api.Refusal
		if err != nil && (!errors.As(err, &r) || r.Outcome != api.NotRun) {
			t.Fatalf("error %v", err)
		}
		if err == nil && (summary.Bytes != int64(kept.Len()) || summary.Lines != bytes.Count(kept.Bytes(), []byte("\n"))) {
			t.Errorf("%+v for %d bytes", summary, kept.Len())
		}
	})
}

// FuzzReadForm guards against forms that cause a panic, whose kept lines differ from
// the counted ones, or whose memory is not released.
func FuzzReadForm(f *testing.F) {
	ct, body := encodeForm("purpose", "batch", "file", batchLine("a")+"\n"+batchLine("b"))
	f.Add(ct, []byte(body))
	ct, body = encodeForm("file", batchLine("a"), "purpose", "batch")
	f.Add(ct, []byte(body))
	f.Add("multipart/form-data; boundary=b", []byte("--b\r\n\r\n--b--"))
	f.Fuzz(func(t *testing.T, contentType string, body []byte) {
		memory := &memoryBudget{limit: 1 << 20}
		sp, err := newSpool(memory)
		if err != nil {
			t.Fatal(err)
		}
		form, err := readForm(bytes.NewReader(body), contentType, checkLimits{Bytes: 1 << 16, Lines: 16, LineBytes: 512}, sp)
		if err != nil && api.AsRefusal(err).Outcome != api.NotRun {
			t.Errorf("error %v", err)
		}
		if err == nil {
			lines := 0
			var decodeErr error
			for range sp.lines(&decodeErr) {
				lines++
			}
			if decodeErr != nil || lines != form.summary.Lines {
				t.Errorf("%d lines of %d, %v", lines, form.summary.Lines, decodeErr)
			}
		}
		if sp.release(); memory.used.Load() != 0 {
			t.Error("memory was not released")
		}
	})
}

// FuzzParseSubmission guards against submissions that cause a panic or are accepted
// with a due time out of range.
func FuzzParseSubmission(f *testing.F) {
	f.Add([]byte(`{"input_file_id":"f","endpoint":"/v1/completions","completion_window":"7d","metadata":null}`))
	f.Add([]byte(`{"due_at":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		now := time.Unix(1_700_000_000, 0)
		_, due, err := parseSubmission(body, now)
		if err == nil && due.After(now.Add(maxWindow)) {
			t.Errorf("due %s", due)
		}
	})
}

// BenchmarkCheckLines measures the validation and compression of an upload. The
// throughput is in bytes of its lines.
func BenchmarkCheckLines(b *testing.B) {
	const lines = 10000
	var file strings.Builder
	for i := range lines {
		file.WriteString(strings.Replace(batchLine(fmt.Sprint("item-", i)), `[]`,
			fmt.Sprintf(`[{"role":"user","content":"Write the audit letter of account %d. %s"}]`, i, strings.Repeat("Name each entry. ", 30)), 1) + "\n")
	}
	b.SetBytes(int64(file.Len()))
	for b.Loop() {
		sp, err := newSpool(&memoryBudget{limit: 1 << 30})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := checkLines(strings.NewReader(file.String()), checkLimits{Bytes: 1 << 30, Lines: lines, LineBytes: 1 << 12}, sp.add); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(sp.reserved), "held-B")
		sp.release()
	}
}
