package auditor

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jacinthnotch/jacinthnotch/node/internal/fakelog"
	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Guards against entries that are lost or duplicated by a lost response, an outage of
// the log or the end of the process, and against filters that return other entries.
func TestEntriesSurviveFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := fakelog.New()
		a := New(Options{Instance: "a", Incarnation: 1, Log: log})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			a.Run(ctx)
		}()
		record := func(n int) {
			a.Record(&recordpb.Audit{Kind: "config", Service: fmt.Sprint("s", n%2), Cause: fmt.Sprint(n)})
		}
		log.LoseNext(2)
		for n := range 10 {
			record(n)
			time.Sleep(time.Second)
		}
		log.SetDown(true)
		record(10)
		time.Sleep(time.Minute)
		log.SetDown(false)
		time.Sleep(10 * time.Second)
		record(11)
		cancel()
		<-ended
		flush, stop := context.WithTimeout(t.Context(), 2*time.Second)
		defer stop()
		a.Flush(flush)
		out, err := a.query(t.Context(), query{limit: 100})
		if err != nil {
			t.Fatal(err)
		}
		for n, e := range out.Entries {
			if e.Cause != fmt.Sprint(n) || e.Instance != "a" {
				t.Errorf("entry %d: %+v", n, e)
			}
		}
		if len(out.Entries) != 12 || out.More {
			t.Fatalf("%d entries, more %v", len(out.Entries), out.More)
		}
		q, err := parseQuery(map[string]string{"service": "s1", "limit": "2"})
		if err != nil {
			t.Fatal(err)
		}
		first, err := a.query(t.Context(), q)
		if err != nil || len(first.Entries) < 2 || first.Entries[0].Cause != "1" || !first.More {
			t.Fatalf("first page: %+v, %v", first, err)
		}
	})
}
