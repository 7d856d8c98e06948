package origin

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)

func record(id uint64, attempt uint8, version string) Record {
	return Record{ID: id, Attempt: attempt, Origin: Origin{Service: "svc", Version: version, Server: "s-" + version}, SentAt: epoch}
}

// Guards against the origin of an attempt without events being taken for that of the stream, and
// against a guess where two streams have the same ID.
func TestLatestAttemptCounts(t *testing.T) {
	cases := map[string]struct {
		records   []Record
		want      string
		status    Status
		ambiguous bool
	}{
		"none":                       {nil, "", Unknown, false},
		"one":                        {[]Record{record(1, 1, "v1")}, "v1", Known, false},
		"second attempt":             {[]Record{record(1, 1, "v1"), record(1, 2, "v2")}, "v2", Known, false},
		"in another order":           {[]Record{record(1, 2, "v2"), record(1, 1, "v1")}, "v2", Known, false},
		"repeated":                   {[]Record{record(1, 1, "v1"), record(1, 1, "v1")}, "v1", Known, false},
		"two streams":                {[]Record{record(1, 1, "v1"), record(1, 1, "v2")}, "", Unknown, true},
		"two streams, a later one":   {[]Record{record(1, 1, "v1"), record(1, 1, "v2"), record(1, 2, "v2")}, "v2", Known, false},
		"another stream":             {[]Record{record(2, 1, "v1")}, "", Unknown, false},
		"same version, other server": {[]Record{record(1, 1, "v1"), {ID: 1, Attempt: 1, Origin: Origin{"svc", "v1", "other"}}}, "v1", Known, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for _, r := range c.records {
				table.Add(epoch, r)
			}
			r, status, ambiguous := table.Find(1)
			if r.Version != c.want || status != c.status || ambiguous != c.ambiguous {
				t.Errorf("%q %v %v, want %q %v %v", r.Version, status, ambiguous, c.want, c.status, c.ambiguous)
			}
		})
	}
}

// Guards against memory that grows with the number of streams, and against a version that is
// remembered for ever.
func TestRecordsAreBounded(t *testing.T) {
	table := NewTable()
	for i := range uint64(maxStreams + compactAfter) {
		table.Add(epoch, record(i, 1, "v1"))
	}
	if n := len(table.streams); n > maxStreams+1 {
		t.Errorf("%d streams", n)
	}
	later := epoch.Add(Retention + time.Second)
	table.Add(later, record(1<<40, 1, "v2"))
	if n := len(table.streams); n != 1 || len(table.queue)-table.head != 1 {
		t.Errorf("%d streams, %d queued after the retention", n, len(table.queue)-table.head)
	}
	if v := table.Versions(later, "svc"); !slices.Equal(v, []string{"v2"}) {
		t.Errorf("versions %v", v)
	}
}
