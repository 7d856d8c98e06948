package mixed_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/platform"
	"github.com/jacinthnotch/jacinthnotch/standin/store"
)

const (
	instances, servers = 7, 4
	clients            = 12
	itemsPerJob        = 6
	// maxTries is the number of instances at which a client tries a request.
	maxTries = 4
	// jobTime is the time in which accepted jobs end after the last change.
	jobTime = 30 * time.Second
)

const config = `{"version":1,"routes":[
 {"name":"s","host":"h.example","pathPrefix":"/s/","kind":"stream","timeoutMs":5000,"targetLatencyMs":300,"service":"svc","maxAttempts":2,"resumable":true,"gapTargetMs":250},
 {"name":"b","host":"h.example","pathPrefix":"/b/","kind":"batch","service":"svc","maxAttempts":3,"dueMs":18000,"targetLatencyMs":400,"resumable":true}],
 "services":[{"name":"svc","healthPath":"/health","engine":{"slots":8,"kvCapTokens":147261}}],"limits":{"maxBodyBytes":4194304}}`

// soak is one run of the fleet under load.
type soak struct {
	*testing.T
	random    *rand.Rand
	service   *service
	instances []*instance
	stopLoad  chan struct{}
	load      sync.WaitGroup
	mu        sync.Mutex
	jobs      []string
	answered  atomic.Int64
	lastID    atomic.Int64
}

func newSoak(t *testing.T, seed uint64) *soak {
	st := store.New()
	t.Cleanup(st.Close)
	st.Put(platform.ConfigTopic, 0, platform.EncodeKeyedRecord(platform.ConfigKey, []byte(config)))
	s := &soak{T: t, random: rand.New(rand.NewPCG(seed, 11)), stopLoad: make(chan struct{})}
	s.service = startServers(t, servers, st)
	s.instances = newInstances(t, instances, st)
	return s
}

// startAll starts the processes of all instances.
func (s *soak) startAll(program string) {
	for _, in := range s.instances {
		in.start(s.T, program)
	}
	for _, in := range s.instances {
		in.awaitReady(s.T)
	}
}

// startLoad starts clients, each of which keeps its connections open and sends one request after the other.
func (s *soak) startLoad() {
	for i := range clients {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		client := &http.Client{Transport: &http.Transport{}}
		s.load.Go(func() {
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-s.stopLoad:
					return
				case <-time.After(time.Duration(random.Int64N(int64(60 * time.Millisecond)))):
				}
				if i < 2 && n%10 == 0 {
					s.submit(client, random)
					continue
				}
				s.stream(client, random)
			}
		})
	}
}

// send sends a request, to another instance if one can't be reached or refuses it, and returns the response's status and
// body. A status of zero means that the instance was killed meanwhile.
func (s *soak) send(client *http.Client, random *rand.Rand, path, body string) (id string, status int, text string) {
	id = fmt.Sprint("r-", s.lastID.Add(1))
	var failures []string
	for _, i := range random.Perm(len(s.instances))[:maxTries] {
		in := s.instances[i]
		r, err := http.NewRequest(http.MethodPost, "http://"+in.callers+path, strings.NewReader(body))
		if err != nil {
			s.Error(err)
			return id, 0, ""
		}
		r.Host = "h.example"
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Deadline-Ms", "8000")
		began := time.Now()
		response, err := client.Do(r)
		if err != nil {
			failures = append(failures, fmt.Sprint(in.name, ": ", err))
			time.Sleep(100 * time.Millisecond)
			continue
		}
		raw, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		switch {
		case err != nil && in.wasKilledSince(began):
			return id, 0, ""
		case err != nil:
			s.Errorf("%s of %s at %s, which was not killed: %v after %q", path, id, in.name, err, raw)
			return id, 0, ""
		case response.StatusCode == http.StatusServiceUnavailable:
			failures = append(failures, fmt.Sprintf("%s: %d %s", in.name, response.StatusCode, bytes.TrimSpace(raw)))
			time.Sleep(100 * time.Millisecond)
		default:
			return id, response.StatusCode, string(raw)
		}
	}
	s.Errorf("%s of %s is not served at %d tries: %s", path, id, maxTries, strings.Join(failures, "; "))
	return id, 0, ""
}

func (s *soak) stream(client *http.Client, random *rand.Rand) {
	id, status, text := s.send(client, random, "/s/x", "prompt")
	switch {
	case status == 0:
	case status != http.StatusOK || strings.Count(text, "id: ") != streamEvents:
		s.Errorf("stream %s: %d %q", id, status, text)
	default:
		s.answered.Add(1)
	}
}

func (s *soak) submit(client *http.Client, random *rand.Rand) {
	id, status, text := s.send(client, random, "/b/", jobOf(itemsPerJob))
	switch status {
	case 0:
	case http.StatusAccepted:
		s.mu.Lock()
		s.jobs = append(s.jobs, id)
		s.mu.Unlock()
	default:
		s.Errorf("job %s: %d %q", id, status, text)
	}
}

// jobOf returns the body of a job with a number of items.
func jobOf(items int) string {
	var list []string
	for n := range items {
		list = append(list, fmt.Sprintf(`{"id":"i-%d","path":"/b/%d","headers":{},"body":"AAAA","tokens":1}`, n, n))
	}
	return `{"items":[` + strings.Join(list, ",") + `]}`
}

// one returns a random instance.
func (s *soak) one() *instance { return s.instances[s.random.IntN(len(s.instances))] }

// replace drains an instance and starts a process of another program.
func (s *soak) replace(in *instance, program string) {
	if !in.terminate() {
		s.Errorf("%s does not end within its grace period", in.name)
	}
	in.start(s.T, program)
	in.awaitReady(s.T)
}

// killAfterItem kills an instance just after an item has begun, perhaps after it stood still for a while, and starts it again
// at once or soon.
func (s *soak) killAfterItem(in *instance, program string) {
	select {
	case <-s.service.began:
	case <-time.After(time.Second):
	}
	time.Sleep(time.Duration(s.random.Int64N(int64(50 * time.Millisecond))))
	if s.random.IntN(4) == 0 {
		in.pause(time.Second)
	}
	in.kill()
	time.Sleep([]time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond}[s.random.IntN(3)])
	in.start(s.T, program)
	in.awaitReady(s.T)
}

// change replaces all instances, in random order, by processes of another program. Between them a few are killed, of either
// program, some go back, and a server crashes.
func (s *soak) change(from, to string) {
	program := map[*instance]string{}
	for _, in := range s.instances {
		program[in] = from
	}
	crashed := s.service.list[s.random.IntN(servers)]
	var crash sync.WaitGroup
	for n, i := range s.random.Perm(len(s.instances)) {
		if n == 2 {
			crash.Go(func() { crashed.crash(); time.Sleep(time.Second); crashed.start(s.T) })
		}
		in := s.instances[i]
		s.replace(in, to)
		program[in] = to
		for range s.random.IntN(3) {
			victim := s.one()
			s.killAfterItem(victim, program[victim])
		}
		if n == instances/2 {
			s.replace(in, from)
			s.replace(in, to)
		}
	}
	crash.Wait()
}

// checkJobs checks that all items of the accepted jobs end as completed.
func (s *soak) checkJobs(jobs []string, items int) {
	s.Helper()
	type results struct {
		Results []struct{ ID, State string }
	}
	deadline := time.Now().Add(jobTime)
	for _, job := range jobs {
		completed, list := 0, results{}
		for first := true; completed < items && (first || time.Now().Before(deadline)); first = false {
			completed, list = 0, results{}
			r, err := http.NewRequest(http.MethodGet, "http://"+s.instances[0].callers+"/lots/"+job+"?after=0", nil)
			if err != nil {
				s.Fatal(err)
			}
			r.Host = "h.example"
			if response, err := http.DefaultClient.Do(r); err == nil {
				_ = json.NewDecoder(response.Body).Decode(&list)
				_ = response.Body.Close()
			}
			for _, result := range list.Results {
				if result.State == "completed" {
					completed++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		if completed < items {
			s.Errorf("job %s: %d of %d items are completed: %v", job, completed, items, list.Results)
		}
	}
}

// unreportedGrants returns the number of slots that hubs have granted and nobody reports.
func (s *soak) unreportedGrants() (n int) {
	for _, in := range s.instances {
		response, err := http.Get("http://" + in.readiness + "/metrics")
		if err != nil {
			s.Fatal(err)
		}
		var metrics struct{ Grants struct{ Unreported int } }
		if err := json.NewDecoder(response.Body).Decode(&metrics); err != nil {
			s.Fatal(err)
		}
		_ = response.Body.Close()
		n += metrics.Grants.Unreported
	}
	return n
}

// run plays a change of builds under load, after which an idle fleet of this build has all of its slots.
func (s *soak) run(changes ...[2]string) {
	s.startAll(changes[0][0])
	time.Sleep(2 * time.Second) // hubs know the load of all instances after that
	s.startLoad()
	for _, c := range changes {
		s.change(c[0], c[1])
	}
	close(s.stopLoad)
	s.load.Wait()
	s.checkJobs(s.jobs, itemsPerJob)
	s.Logf("%d streams answered, %d jobs", s.answered.Load(), len(s.jobs))
	if s.answered.Load() == 0 || len(s.jobs) == 0 {
		s.Fatal("no load")
	}
	if changes[len(changes)-1][1] != builds.current {
		return
	}
	waitFor(s.T, "slots stay granted to nobody", func() bool { return s.unreportedGrants() == 0 })
	const items = 3 * servers * slots
	id, status, text := s.send(http.DefaultClient, s.random, "/b/", jobOf(items))
	if status != http.StatusAccepted {
		s.Fatalf("job %s: %d %q", id, status, text)
	}
	most := 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		most = max(most, s.service.itemsRunning())
	}
	if want := servers * slots * 3 / 4; most < want {
		s.Errorf("at most %d items run at once on %d idle slots, want %d", most, servers*slots, want)
	}
	s.checkJobs([]string{id}, items)
}

// seeds returns the seeds to run: MIXED_SEEDS from MIXED_FIRST on, or one.
func seeds() (list []uint64) {
	first, _ := strconv.ParseUint(os.Getenv("MIXED_FIRST"), 10, 64)
	count, _ := strconv.ParseUint(os.Getenv("MIXED_SEEDS"), 10, 64)
	for n := range max(1, count) {
		list = append(list, first+n)
	}
	return list
}

// Guards against accepted jobs that are lost, streams that break at instances that were not killed, and slots that stay
// granted to nobody, while instances of the build before are replaced by this one, are killed, or go back.
func TestUpgradeUnderLoad(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoak(t, seed).run([2]string{builds.before, builds.current}) })
	}
}

// Guards against the same while instances of this build are replaced by the one before.
func TestStepBackUnderLoad(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoak(t, seed).run([2]string{builds.current, builds.before}) })
	}
}
