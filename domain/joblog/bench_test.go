package joblog

import "testing"

// BenchmarkApply measures applying one result; each instance applies the results of all
// jobs.
func BenchmarkApply(b *testing.B) {
	raw, err := (&Record{Result: &Result{Job: "7c41e09b52d6a3f8", Item: 3, ID: "e5b2907c14da6f38", State: Completed, Output: []Extent{{Partition: 3, Offset: 811, Records: 1, Bytes: 12000}}}}).Encode()
	if err != nil {
		b.Fatal(err)
	}
	table := NewTable()
	accepted, err := (&Record{Accepted: &Accepted{Job: "7c41e09b52d6a3f8", Items: 10, Host: "ficu95.example", Path: "/pule252/"}}).Encode()
	if err != nil {
		b.Fatal(err)
	}
	table.Apply(epoch, 0, accepted)
	offset := int64(1)
	b.ReportAllocs()
	for b.Loop() {
		table.Apply(epoch, offset, raw)
		offset++
	}
}
