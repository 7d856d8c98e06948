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
	ct, body := formOf("purpose", "batch", "file", strings.Join(lines, "\n"))
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

// Guards against a file whose lines, order or size change between upload and
// download, and against files of other workspaces.
func TestUploadAndContent(t *testing.T) {
	h := newHarness(t)
	var lines []string
	for i := range 100 {
		lines = append(lines, line(fmt.Sprint("item-", i)))
	}
	want := strings.Join(lines, "\n") + "\n"
	f := h.upload("north-key", lines...)
	if f.Bytes != int64(len(want)) || f.Lines != 100 || f.Filename != "in.jsonl" || f.Purpose != "batch" || f.Object != "file" {
		t.Errorf("file %+v", f)
	}
	if again := h.upload("north-key", append(lines, "", "")...); again.ID != f.ID {
		t.Errorf("the same content is %s and %s", f.ID, again.ID)
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

// Guards against a bad file of which a part is accepted, and against a message
// that does not name the first bad line and the field.
func TestBadFiles(t *testing.T) {
	h := newHarness(t)
	good := line("a")
	for _, tc := range []struct {
		name, file  string
		status      int
		param, want string
	}{
		{"not JSON", good + "\n{", 400, "line", "line 2: "},
		{"not an object", "[]", 400, "line", "line 1: "},
		{"blank line", good + "\n\n" + line("b"), 400, "line", "line 2: "},
		{"not UTF-8", good + "\n" + strings.Replace(good, `"a"`, "\"\xff\"", 1), 400, "line", "line 2: "},
		{"no custom_id", strings.Replace(good, "custom_id", "custom", 1), 400, "custom_id", "line 1: "},
		{"other case", strings.Replace(good, "custom_id", "Custom_ID", 1), 400, "custom_id", "line 1: "},
		{"empty custom_id", line(""), 400, "custom_id", "line 1: "},
		{"repeated custom_id", good + "\n" + line("b") + "\n" + good, 400, "custom_id", `line 3: custom_id: "a" stands on line 1`},
		{"method", strings.Replace(good, "POST", "GET", 1), 400, "method", "line 1: "},
		{"url", strings.Replace(good, "chat/completions", "embeddings", 1), 400, "url", "line 1: "},
		{"two urls", good + "\n" + strings.Replace(line("b"), "chat/", "", 1), 400, "url", "line 2: "},
		{"body", strings.Replace(good, `{"model":"m","messages":[]}`, `"text"`, 1), 400, "body", "line 1: "},
		{"no model", strings.Replace(good, `"model":"m",`, ``, 1), 400, "body.model", "line 1: "},
		{"two models", good + "\n" + strings.Replace(line("b"), `"m"`, `"n"`, 1), 400, "body.model", "line 2: "},
		{"streamed", strings.Replace(good, `"model"`, `"stream":true,"model"`, 1), 400, "body.stream", "line 1: "},
		{"empty", "\n", 400, "file", "no lines"},
		{"long line", good + "\n" + line(strings.Repeat("x", 2000)), 413, "file", "line 2 "},
		{"many lines", strings.Repeat("\n", 0) + manyLines(101), 413, "file", "100 lines"},
		{"large", strings.Repeat(" ", 1<<17), 413, "body", "limit"},
	} {
		ct, body := formOf("purpose", "batch", "file", tc.file)
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

func manyLines(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(line(fmt.Sprint(i)) + "\n")
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

// Guards against forms that are incomplete, ambiguous or cut off.
func TestBadForms(t *testing.T) {
	h := newHarness(t)
	for _, tc := range []struct {
		name, param string
		fields      []string
	}{
		{"no purpose", "purpose", []string{"file", line("a")}},
		{"other purpose", "purpose", []string{"file", line("a"), "purpose", "assistants"}},
		{"no file", "file", []string{"purpose", "batch"}},
		{"two files", "file", []string{"purpose", "batch", "file", line("a"), "file", line("b")}},
		{"unknown field", "expires_after[seconds]", []string{"purpose", "batch", "expires_after[seconds]", "60", "file", line("a")}},
	} {
		ct, body := formOf(tc.fields...)
		status, answer, _ := h.do("north-key", "POST", "/v1/files", ct, body)
		checkError(t, tc.name, status, answer, 400, tc.param, "")
	}
	status, answer, _ := h.do("north-key", "POST", "/v1/files", "application/json", "{}")
	checkError(t, "JSON", status, answer, 400, "Content-Type", "")
	ct, body := formOf("purpose", "batch", "file", line("a"))
	status, answer, _ = h.do("north-key", "POST", "/v1/files", ct, body[:len(body)-20])
	checkError(t, "cut off", status, answer, 400, "body", "")
	if len(h.jobs.files) != 0 {
		t.Errorf("%d files were recorded", len(h.jobs.files))
	}
}

// Guards against uploads whose sum is not bounded.
func TestUploadMemory(t *testing.T) {
	h := newHarness(t)
	if err := h.api.memory.take(2 << 20); err != nil {
		t.Fatal(err)
	}
	ct, body := formOf("purpose", "batch", "file", line("a"))
	if status, answer, _ := h.do("north-key", "POST", "/v1/files", ct, body); status != 503 || !strings.Contains(answer, "overloaded") {
		t.Errorf("%d %s", status, answer)
	}
	h.api.memory.used.Add(-2 << 20)
}

// Guards against content that is cut off and looks complete.
func TestContentThatBreaksOff(t *testing.T) {
	h := newHarness(t)
	f := h.upload("north-key", line("a"), line("b"))
	job := h.submit(200, f.ID, "", "")
	h.jobs.results = []api.ItemResult{{CustomID: "a", Outcome: api.Ran, Status: 200, Body: []byte(`{}`)}}
	h.jobs.broken = errBroken
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

// Guards against a resent job that becomes a second one, and against a key
// that covers another job.
func TestJobKey(t *testing.T) {
	h := newHarness(t)
	f := h.upload("north-key", line("a"), line("b"))
	first := h.submit(200, f.ID, "k", `,"metadata":{"run":"7"}`)
	if again := h.submit(200, f.ID, "k", `,"metadata":{"run":"7"}`); again.ID != first.ID {
		t.Errorf("resend: %s, %s", first.ID, again.ID)
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

// Guards against submissions that are accepted with a wrong field.
func TestBadSubmissions(t *testing.T) {
	h := newHarness(t)
	f := h.upload("north-key", line("a"))
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

// Guards against results in the wrong file, without their reason, or without
// the identifiers that client libraries read.
func TestResults(t *testing.T) {
	h := newHarness(t)
	f := h.upload("north-key", line("a"), line("b"), line("c"))
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

// Guards against uploads that use every core beside online requests.
func TestLinesCheckedAtTheSameTime(t *testing.T) {
	limits := checkLimits{Bytes: 1 << 20, Lines: 1000, LineBytes: 1 << 10, Slots: make(chan struct{}, 2)}
	var running atomic.Int32
	var uploads conc.WaitGroup
	for range 8 {
		uploads.Go(func() {
			_, err := checkLines(strings.NewReader(manyLines(200)), limits, func([]byte) error {
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

// FuzzCheckLines guards against files on which the checks panic, and against
// accepted files whose kept lines are not what was counted.
func FuzzCheckLines(f *testing.F) {
	f.Add([]byte(line("a") + "\r\n" + line("b") + "\n\n"))
	f.Add([]byte("{\"custom_id\":1}\n"))
	f.Add([]byte("\n\x00\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var kept bytes.Buffer
		in, err := checkLines(bytes.NewReader(data), checkLimits{Bytes: 1 << 16, Lines: 16, LineBytes: 512}, func(l []byte) error {
			kept.Write(l)
			return kept.WriteByte('\n')
		})
		var r *api.Refusal
		if err != nil && (!errors.As(err, &r) || r.Outcome != api.NotRun) {
			t.Fatalf("error %v", err)
		}
		if err == nil && (in.Bytes != int64(kept.Len()) || in.Lines != bytes.Count(kept.Bytes(), []byte("\n"))) {
			t.Errorf("%+v for %d bytes", in, kept.Len())
		}
	})
}

// FuzzReadForm guards against forms on which the parser panics or keeps
// something other than what it counted.
func FuzzReadForm(f *testing.F) {
	ct, body := formOf("purpose", "batch", "file", line("a")+"\n"+line("b"))
	f.Add(ct, []byte(body))
	ct, body = formOf("file", line("a"), "purpose", "batch")
	f.Add(ct, []byte(body))
	f.Add("multipart/form-data; boundary=b", []byte("--b\r\n\r\n--b--"))
	f.Fuzz(func(t *testing.T, contentType string, body []byte) {
		memory := &budget{limit: 1 << 20}
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
			var failed error
			for range sp.lines(&failed) {
				lines++
			}
			if failed != nil || lines != form.in.Lines {
				t.Errorf("%d lines of %d, %v", lines, form.in.Lines, failed)
			}
		}
		if sp.release(); memory.used.Load() != 0 {
			t.Error("memory was not released")
		}
	})
}

// FuzzParseSubmission guards against submissions on which the parser panics or
// accepts a due time out of range.
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

// BenchmarkCheckLines measures the checks and the compression of an upload in
// bytes of its lines.
func BenchmarkCheckLines(b *testing.B) {
	const lines = 10000
	var file strings.Builder
	for i := range lines {
		file.WriteString(strings.Replace(line(fmt.Sprint("item-", i)), `[]`,
			fmt.Sprintf(`[{"role":"user","content":"Write the audit letter of account %d. %s"}]`, i, strings.Repeat("Name each entry. ", 30)), 1) + "\n")
	}
	b.SetBytes(int64(file.Len()))
	for b.Loop() {
		sp, err := newSpool(&budget{limit: 1 << 30})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := checkLines(strings.NewReader(file.String()), checkLimits{Bytes: 1 << 30, Lines: lines, LineBytes: 1 << 12}, sp.add); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(sp.taken), "held-B")
		sp.release()
	}
}
