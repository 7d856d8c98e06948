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
	v1, v2, again := record(1, 1, "v1"), record(1, 1, "v2"), record(1, 2, "v2")
	for name, c := range map[string]struct {
		records   []Record
		want      string
		ambiguous bool
	}{
		"none": {nil, "", false}, "repeated": {[]Record{v1, v1}, "v1", false}, "another stream": {[]Record{record(2, 1, "v1")}, "", false},
		"second attempt": {[]Record{v1, again}, "v2", false}, "in another order": {[]Record{again, v1}, "v2", false},
		"two streams": {[]Record{v1, v2}, "", true}, "two streams, a later attempt": {[]Record{v1, v2, again}, "v2", false},
	} {
		table := NewTable()
		for _, r := range c.records {
			table.Add(epoch, r)
		}
		if r, status, ambiguous := table.Find(1); r.Version != c.want || (status == Known) != (c.want != "") || ambiguous != c.ambiguous {
			t.Errorf("%s: %q %v %v, want %q %v", name, r.Version, status, ambiguous, c.want, c.ambiguous)
		}
	}
}

// Guards against memory that grows with the number of streams, and against a version that is
// remembered for ever.
func TestRecordsAreBounded(t *testing.T) {
	table := NewTable()
	for i := range uint64(maxStreams + compactAfter) {
		table.Add(epoch, record(i, 1, "v1"))
	}
	most, later := len(table.streams), epoch.Add(Retention+time.Second)
	table.Add(later, record(1<<40, 1, "v2"))
	if left := len(table.streams); most > maxStreams+1 || left != 1 || len(table.queue)-table.head != 1 {
		t.Errorf("%d streams, %d after the retention", most, left)
	}
	if v := table.Versions(later, "svc"); !slices.Equal(v, []string{"v2"}) {
		t.Errorf("versions %v", v)
	}
}
