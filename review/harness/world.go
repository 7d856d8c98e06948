package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: the store, the servers and the instances of the system.
type world struct {
	start     time.Time
	temp      string
	store     *store
	servers   []*modelServer
	instances []*instance
	client    *http.Client

	mu     sync.Mutex
	record *os.File
}

// instance is a process of the system.
type instance struct {
	name, callers, readiness, settings string
	process                            *exec.Cmd
	exited                             chan struct{}
	log                                *os.File
}

// current is the world of this process, for the end after an error.
var current *world

// cannotRun ends the case with status 2.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case cannot run: "+format+"\n", args...)
	if current != nil {
		current.logf("the case cannot run: "+format, args...)
		current.close()
	}
	os.Exit(2)
}

func newWorld(folder string) *world {
	w := &world{start: time.Now()}
	current = w
	var err error
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		cannotRun("%v", err)
	}
	if w.temp, err = os.MkdirTemp("", "review-"); err != nil {
		cannotRun("%v", err)
	}
	// Each call of a client takes a new connection.
	w.client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	w.store = newStore()
	return w
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (w *world) close() {
	for _, i := range w.instances {
		if i.process != nil {
			_ = i.process.Process.Kill()
			<-i.exited
		}
	}
	_ = os.RemoveAll(w.temp)
}

// freePorts returns ports that are free for TCP and UDP. They are below those that the kernel
// gives to outgoing connections.
func freePorts(n int) []int {
	const first, count = 12000, 18000
	var ports []int
	var open []io.Closer
	for tries := 0; len(ports) < n; tries++ {
		if tries > count {
			cannotRun("no free ports")
		}
		address := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		open = append(open, l)
		if u, err := net.ListenPacket("udp4", address); err == nil {
			open = append(open, u)
			ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		}
	}
	for _, c := range open {
		_ = c.Close()
	}
	return ports
}

// startInstances starts n instances with the command of the deploy file.
func (w *world) startInstances(n int) {
	for k := range n {
		i := &instance{name: fmt.Sprintf("front-%d", k+1)}
		w.instances = append(w.instances, i)
		w.assignPorts(i)
		w.startInstance(i)
	}
	w.await("the instances are ready", 20*time.Second, func() bool {
		for _, i := range w.instances {
			select {
			case <-i.exited:
				// Another process has taken one of its ports since they were found free.
				raw, _ := os.ReadFile(i.log.Name())
				w.logf("instance %s ended at its start and gets other ports: %s", i.name, lastLine(raw))
				w.assignPorts(i)
				w.startInstance(i)
				return false
			default:
			}
			if !w.ready(i) {
				return false
			}
		}
		return true
	})
	// The instances need a moment to hear from each other.
	time.Sleep(3 * time.Second)
}

func lastLine(raw []byte) string {
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return lines[len(lines)-1]
}

// assignPorts gives an instance free ports and writes its settings.
func (w *world) assignPorts(i *instance) {
	p := freePorts(3)
	i.callers, i.readiness = fmt.Sprintf("127.0.0.1:%d", p[0]), fmt.Sprintf("127.0.0.1:%d", p[1])
	i.settings = filepath.Join(w.temp, i.name+".conf")
	settings := fmt.Sprintf(`instance = %q
data_centre = "zone-a"
[listen]
callers = %q
readiness = %q
ip = "127.0.0.1"
first_port = %d
[limits]
memory_mb = 164
cores = 0.8
descriptors = 8200
[store]
address = %q
partitions = 8
record_bytes = 262144
call_bytes = 2097152
retention_s = 300
[drain]
grace_s = 8
`, i.name, i.callers, i.readiness, p[2], w.store.address())
	if err := os.WriteFile(i.settings, []byte(settings), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

func (w *world) startInstance(i *instance) {
	var err error
	if i.log, err = os.OpenFile(filepath.Join(w.temp, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		cannotRun("%v", err)
	}
	i.process = exec.Command("target/jacinthnotchd", "serve", "--settings", i.settings)
	i.process.Stdout, i.process.Stderr = i.log, i.log
	i.process.Env = append(os.Environ(), "GOMAXPROCS=1")
	i.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.process.Start(); err != nil {
		cannotRun("%v", err)
	}
	i.exited = make(chan struct{})
	go func() { _ = i.process.Wait(); close(i.exited) }()
	w.logf("instance %s started", i.name)
}

func (w *world) ready(i *instance) bool {
	response, err := w.client.Get("http://" + i.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds, and ends the case if it does not in time.
func (w *world) await(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			cannotRun("not in time: %s", what)
		}
	}
	w.logf("%s", what)
}

// route and service names of the deployment.
const (
	host       = "letters.example"
	engineName = "levelgen"
	batchPath  = "/batch9/"
)

// streamRoute returns a resumable stream route.
func streamRoute(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
		"service": engineName, "maxAttempts": 2, "sticky": true, "resumable": true, "gapTargetMs": 300,
	}
}

// batchRoute returns the batch route of the deployment.
func batchRoute() map[string]any {
	return map[string]any{
		"name": "r-batch", "host": host, "pathPrefix": batchPath, "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 500, "priority": 2,
		"service": engineName, "maxAttempts": 3, "sticky": true, "dueMs": 18000, "retentionS": 60, "gapTargetMs": 300,
	}
}

// configure writes a configuration, as the operator does. The store's answer acknowledges it.
func (w *world) configure(version int, kvTokens int, routes ...map[string]any) {
	names := []string{}
	for _, r := range routes {
		names = append(names, r["name"].(string))
	}
	w.logf("operator: configuration %d with the routes %s is written", version, strings.Join(names, ", "))
	w.store.put("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": engineName, "healthPath": "/health", "maxConns": 200, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 8, "kvCapTokens": kvTokens}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.logf("operator: configuration %d is acknowledged", version)
}

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// newItem returns an item of a prompt and a number of events.
func newItem(job string, n, prompt, events int) item {
	id := fmt.Sprintf("%s%04x", job, n)
	return item{
		ID: id, Path: fmt.Sprintf("%s3/%04x", batchPath, n),
		Headers: map[string]string{"X-Model": "m", "X-Token-Counts": fmt.Sprintf("%d,%d", prompt, events), "X-Prompt-Prefix": fmt.Sprintf("9c2e41:100,%s:%d", id, prompt-100)},
		Body:    base64.StdEncoding.EncodeToString([]byte("letter " + id)), Tokens: prompt + events,
	}
}

// text returns the whole output of an item.
func (i *item) text() string {
	_, events := tokenCounts(i.Headers["X-Token-Counts"])
	lines := make([]string, events)
	for e := range events {
		lines[e] = eventData(i.ID, e+1)
	}
	return strings.Join(lines, "\n")
}

// submit hands a job in, at the instances in turn until one answers 202.
func (w *world) submit(job string, items []item) {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		cannotRun("%v", err)
	}
	for attempt := range 8 {
		i := w.instances[attempt%len(w.instances)]
		r, _ := http.NewRequest(http.MethodPost, "http://"+i.callers+batchPath+job, bytes.NewReader(body))
		r.Host = host
		r.Header.Set("X-Request-Id", job)
		r.Header.Set("Content-Type", "application/json")
		status, _ := w.do(r)
		w.logf("client: job %s with %d items handed in at %s: %d", job, len(items), i.name, status)
		if status == http.StatusAccepted {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	cannotRun("job %s was not accepted", job)
}

// do makes a call and returns its status, 0 without an answer.
func (w *world) do(r *http.Request) (int, []byte) {
	response, err := w.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// result is a result as it is read.
type result struct{ ID, State, Text string }

// read reads all results of a job at one instance. It returns false if a call got another
// answer than 200.
func (w *world) read(i *instance, job string) (total int, results []result, ok bool) {
	for {
		r, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/lots/%s?after=%d", i.callers, job, len(results)), nil)
		r.Host = host
		status, raw := w.do(r)
		var page struct {
			Total, Next int
			Results     []result
		}
		if status != http.StatusOK || json.Unmarshal(raw, &page) != nil {
			w.logf("client: results of job %s from %d at %s: status %d", job, len(results), i.name, status)
			return total, results, false
		}
		total = page.Total
		results = append(results, page.Results...)
		if len(page.Results) == 0 || len(results) >= total {
			return total, results, true
		}
	}
}

// countListed returns the number of results from a position on that one call reads; zero if it gets
// another answer than 200.
func (w *world) countListed(i *instance, job string, after int) int {
	r, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/lots/%s?after=%d", i.callers, job, after), nil)
	r.Host = host
	status, raw := w.do(r)
	var page struct{ Results []result }
	if status == http.StatusOK && json.Unmarshal(raw, &page) != nil {
		cannotRun("results that are no JSON: %q", raw)
	}
	w.logf("client: results of job %s from %d at %s: status %d, %d results", job, after, i.name, status, len(page.Results))
	return len(page.Results)
}

// countStates returns the numbers of results by their state.
func countStates(results []result) map[string]int {
	states := map[string]int{}
	for _, r := range results {
		states[r.State]++
	}
	return states
}

// idleFor returns since when no server had a request.
func (w *world) idleFor() time.Duration {
	idle := time.Since(w.start)
	for _, s := range w.servers {
		if _, last := s.load(); !last.IsZero() {
			idle = min(idle, time.Since(last))
		}
	}
	return idle
}
