// Package ident derives the identifiers of files and jobs, the fingerprints of calls,
// and the partitions to which they belong.
//
// The identifier of a file or a job contains its partition, so that any instance can
// find the owner without a lookup.
package ident

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPartitions is the largest number of partitions, because an identifier holds the
	// partition number in four hex digits.
	MaxPartitions = 1 << 16

	filePrefix      = "file-"
	jobPrefix       = "batch_"
	hashBytes       = 16
	partitionDigits = 4
)

// ErrMalformed reports an identifier that is not of the form made by this package.
var ErrMalformed = errors.New("ident: malformed identifier")

// KeyPartition returns the partition of the keyed call or of the job key with the given
// workspace and key.
func KeyPartition(workspace, key string, partitions int) int {
	h := xxhash.New()
	writeField(h, workspace)
	writeField(h, key)
	return int(h.Sum64() % uint64(partitions))
}

// Fingerprint returns the SHA-256 digest of a call's content: its method, path and body.
func Fingerprint(method, path string, body []byte) []byte {
	h := sha256.New()
	writeField(h, method)
	writeField(h, path)
	h.Write(body)
	return h.Sum(nil)
}

// FileID returns the identifier of a file whose content has the given digest. The same
// content uploaded again to a workspace for the same purpose has the same identifier.
func FileID(workspace, purpose string, digest []byte, partitions int) string {
	h := sha256.New()
	writeField(h, workspace)
	writeField(h, purpose)
	h.Write(digest)
	sum := h.Sum(nil)
	p := binary.BigEndian.Uint64(sum[hashBytes:]) % uint64(partitions)
	return formatID(filePrefix, int(p), sum)
}

// JobID returns the identifier of the job with the given key, in the partition of its
// input file. If key is empty, nonce makes the identifier unique.
func JobID(workspace, key, nonce string, partition int) string {
	h := sha256.New()
	writeField(h, workspace)
	writeField(h, key)
	if key == "" {
		writeField(h, nonce)
	}
	return formatID(jobPrefix, partition, h.Sum(nil))
}

// FilePartition returns the partition in a file's identifier.
func FilePartition(id string) (int, error) { return parsePartition(filePrefix, id) }

// JobPartition returns the partition in a job's identifier.
func JobPartition(id string) (int, error) { return parsePartition(jobPrefix, id) }

// PartitionStream returns the name of a partition's stream on the log.
func PartitionStream(partition int) string {
	return fmt.Sprintf("partition-%04x", partition)
}

func formatID(prefix string, partition int, sum []byte) string {
	return fmt.Sprintf("%s%0*x%s", prefix, partitionDigits, partition, hex.EncodeToString(sum[:hashBytes]))
}

func parsePartition(prefix, id string) (int, error) {
	rest, ok := strings.CutPrefix(id, prefix)
	if !ok || len(rest) != partitionDigits+2*hashBytes {
		return 0, ErrMalformed
	}
	if _, err := hex.DecodeString(rest); err != nil {
		return 0, ErrMalformed
	}
	p, err := strconv.ParseUint(rest[:partitionDigits], 16, 16)
	if err != nil {
		return 0, ErrMalformed
	}
	return int(p), nil
}

// writeField writes a string with its length as a prefix, so that the fields ("a", "bc")
// and ("ab", "c") have different digests.
func writeField(w interface{ Write([]byte) (int, error) }, s string) {
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(s)))
	w.Write(n[:])
	w.Write([]byte(s))
}
