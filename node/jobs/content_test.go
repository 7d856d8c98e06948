package jobs

import (
	"bytes"
	"fmt"
	"testing"
)

// Guards against a cache of decoded jobs that grows with the size of the jobs, and against one
// that evicts jobs which are in use.
func TestDecodedJobsAreBoundedByBytes(t *testing.T) {
	items := func(bodyBytes int) []Item {
		return []Item{{ID: "i", Path: "/b/", Header: map[string]string{"Model": "m"}, Body: bytes.Repeat([]byte("x"), bodyBytes)}}
	}
	const body = 10_000
	size := contentBytes(items(body))
	c := newContentCache(4 * size)
	c.put("in use", items(body))
	for n := range 100 {
		c.put(fmt.Sprint("job ", n), items(body))
		if c.get("in use") == nil {
			t.Fatal("the job that was used last is evicted")
		}
		if len(c.jobs) > 4 || c.size > c.maxBytes {
			t.Fatalf("%d jobs of %d bytes cached, want at most %d bytes", len(c.jobs), c.size, c.maxBytes)
		}
	}
	c.put("larger than the cache", items(5*body))
	if c.get("in use") == nil || c.get("larger than the cache") != nil {
		t.Fatal("a job that does not fit takes the place of others")
	}
	for n := range 100 {
		c.remove(fmt.Sprint("job ", n))
	}
	if c.remove("in use"); c.size != 0 {
		t.Fatalf("%d bytes count without a job", c.size)
	}
}
