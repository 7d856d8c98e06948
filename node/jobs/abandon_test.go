package jobs_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jacinthnotch/jacinthnotch/domain/joblog"
	"github.com/jacinthnotch/jacinthnotch/domain/serving"
	"github.com/jacinthnotch/jacinthnotch/node/port"
)

// removeRoutes puts a configuration without routes in force at the instance.
func (i *instance) removeRoutes() {
	revision := &serving.Revision{Version: 2}
	revision.Index()
	i.view.ApplyConfig([]port.Entry[serving.Revision]{{Key: "c", Value: revision}}, true)
}

// refuse lets the server reject an item without running it.
func refuse(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 503 X\r\nConnection: close\r\nId: %s\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// Guards against items that are never listed after the operator has removed the route of
// their job, and against giving up an item that is running.
func TestItemsOfARemovedRouteAreListed(t *testing.T) {
	s := newCluster(t)
	// eventInterval makes the item run for longer than the others are waited for.
	const eventInterval = 800 * time.Millisecond
	release := make(chan struct{})
	s.server.respond = func(c net.Conn, r *http.Request, _ int) bool {
		id := r.Header.Get("Id")
		if id == "running" {
			writeHead(c, id)
			for n := 1; n < events; n++ {
				writeEvent(c, id, n)
				time.Sleep(eventInterval)
			}
			<-release
			writeEvent(c, id, events)
			fmt.Fprint(c, "0\r\n\r\n")
			return true
		}
		refuse(c, id)
		return true
	}
	a, b := s.start("a", 1), s.start("b", 2)
	submitJob(t, a, "j", "running", "x", "y")
	waitFor(t, func() bool { return s.server.count("running") == 1 && s.server.count("x") > 0 })
	a.removeRoutes()
	b.removeRoutes()
	for _, i := range []*instance{a, b} {
		for _, result := range i.awaitResults("j", 2) {
			if !result.DeadLetter {
				t.Fatalf("%s lists %+v, want x and y as given up", i.name, result)
			}
		}
	}
	close(release)
	if last := a.awaitResults("j", 3)[2]; last.DeadLetter || string(last.Text) != output("running") {
		t.Fatalf("%+v, want the output of the item that was running", last)
	}
}

// Guards against items of a removed route that nobody gives up because the holder of their job
// is lost, one or all instances at once.
func TestItemsOfARemovedRouteAreListedAfterLossOfTheHolder(t *testing.T) {
	for name, others := range map[string]int{"another instance goes on": 1, "all are lost": 0} {
		t.Run(name, func(t *testing.T) {
			s := newCluster(t)
			s.server.respond = func(c net.Conn, r *http.Request, _ int) bool { refuse(c, r.Header.Get("Id")); return true }
			a := s.start("a", 1)
			for n := range others {
				s.start(fmt.Sprint("b", n), 1).removeRoutes()
			}
			submitJob(t, a, "j", "x", "y")
			a.kill()
			next := s.start("c", 1)
			next.removeRoutes()
			for _, result := range next.awaitResults("j", 2) {
				if !result.DeadLetter {
					t.Fatalf("listed %+v, want both given up", result)
				}
			}
		})
	}
}

// Guards against failures of an item that each holder of its job counts anew, so that servers get
// an item that fails at each run for as long as holders change.
func TestFailuresCountAcrossHolders(t *testing.T) {
	s := newCluster(t)
	killed := make(chan struct{})
	s.server.respond = func(c net.Conn, r *http.Request, run int) bool {
		if run == 1 {
			<-killed // the second run is that of the first holder, too
			return true
		}
		writeStatus(c, r.Header.Get("Id"), http.StatusInternalServerError)
		return true
	}
	a := s.start("a", 1)
	submitJob(t, a, "j", "x")
	waitFor(t, func() bool { return failures(a, "j") == 1 })
	a.kill()
	close(killed)
	before := s.server.count("x")
	b := s.start("b", 1)
	if result := b.awaitResults("j", 1)[0]; !result.DeadLetter {
		t.Fatalf("%+v, want the item as given up", result)
	}
	if n := s.server.count("x"); n > before+2 {
		t.Errorf("the item ran %d times, %d times before the change of the holder; the route allows 3 attempts", n, before)
	}
}

// failures returns the recorded failures of the first item of a job.
func failures(i *instance, job string) (n int) {
	i.index.Read(func(table *joblog.Table) {
		if j := table.Job(job); j != nil {
			n = j.Items[0].Failures
		}
	})
	return n
}

// Guards against a server that gets no items because it refuses one that no server can hold, and
// against such an item being sent again and again.
func TestOversizedItemIsNoFaultOfItsServers(t *testing.T) {
	s := newCluster(t)
	s.server.respond = func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("Id") != "large" {
			return false
		}
		refuse(c, "large")
		return true
	}
	a := s.start("a", 1)
	revision := *a.view.Revision()
	revision.Version++
	revision.Services = map[string]*serving.Service{"svc": {Name: "svc", Engine: &serving.Engine{Slots: 8, KVCacheTokens: tokensPerItem - 1}}}
	a.view.ApplyConfig([]port.Entry[serving.Revision]{{Key: "c", Value: &revision}}, true)
	submitJob(t, a, "j", "large", "x", "y", "z")
	checkResults(t, a.awaitResults("j", 3), "x", "y", "z")
	time.Sleep(500 * time.Millisecond)
	if n := s.server.count("large"); n != 1 {
		t.Errorf("the item was sent %d times in half a second, want once", n)
	}
}
