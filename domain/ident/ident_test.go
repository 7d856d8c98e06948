package ident

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against identifiers from which the owner's partition cannot be derived.
func TestIdentifiersNameTheirPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		partitions := rapid.IntRange(1, MaxPartitions).Draw(t, "partitions")
		workspace := rapid.String().Draw(t, "workspace")
		key := rapid.String().Draw(t, "key")
		file := FileID(workspace, "batch", []byte(key), partitions)
		p, err := FilePartition(file)
		if err != nil || p >= partitions {
			t.Fatalf("FilePartition(%q) = %d, %v", file, p, err)
		}
		job := JobID(workspace, key, "nonce", p)
		if q, err := JobPartition(job); err != nil || q != p {
			t.Fatalf("JobPartition(%q) = %d, %v, want %d", job, q, err, p)
		}
	})
}

// Guards against malformed identifiers from callers that reach a partition lookup.
func TestMalformedIdentifiers(t *testing.T) {
	for _, id := range []string{"", "file-", "batch_0000", "file-zzzz" + "00000000000000000000000000000000", "batch_" + "0000/../0000000000000000000000000000"} {
		if _, err := FilePartition(id); err == nil {
			t.Errorf("FilePartition(%q) accepted a malformed identifier", id)
		}
		if _, err := JobPartition(id); err == nil {
			t.Errorf("JobPartition(%q) accepted a malformed identifier", id)
		}
	}
}
