package partition

import (
	"cmp"
	"slices"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Location is the position of an entry in the stream.
type Location struct {
	// Offset is the offset of the record.
	Offset int64
	// Entry is the index of the entry in the record's batch.
	Entry uint32
}

// Range identifies part of an entry that holds lines or results. First and Count
// are, for a FileChunk, the first line and the number of lines, and for ItemResults
// the index in the entry's list and the number of results.
type Range struct {
	Offset       int64
	Entry        uint32
	First, Count uint32
}

// Location returns the location of the entry.
func (r Range) Location() Location { return Location{Offset: r.Offset, Entry: r.Entry} }

func (r Range) compare(o Range) int {
	switch {
	case r.Offset != o.Offset:
		return cmp.Compare(r.Offset, o.Offset)
	case r.Entry != o.Entry:
		return cmp.Compare(r.Entry, o.Entry)
	}
	return cmp.Compare(r.First, o.First)
}

func (r Range) proto() *recordpb.Range {
	return &recordpb.Range{Offset: r.Offset, Entry: r.Entry, First: r.First, Count: r.Count}
}

func (l Location) proto() *recordpb.Range {
	return &recordpb.Range{Offset: l.Offset, Entry: l.Entry}
}

func rangeOf(p *recordpb.Range) Range {
	return Range{Offset: p.GetOffset(), Entry: p.GetEntry(), First: p.GetFirst(), Count: p.GetCount()}
}

func locationOf(p *recordpb.Range) Location {
	return Location{Offset: p.GetOffset(), Entry: p.GetEntry()}
}

// insertRange inserts r into a sorted list unless it is present. Appending is the
// common case.
func insertRange(list []Range, r Range) []Range {
	if n := len(list); n == 0 || list[n-1].compare(r) < 0 {
		return append(list, r)
	}
	i, found := slices.BinarySearchFunc(list, r, Range.compare)
	if found {
		return list
	}
	return slices.Insert(list, i, r)
}
