package config

import (
	_ "embed"
	"fmt"

	"github.com/jacinthnotch/jacinthnotch/wire/recordpb"
)

// Sample is a valid document with two model services, one plain service and three
// workspaces, for the development mode and for tests. The API key of a workspace is the
// workspace's name with "-key" appended.
//
//go:embed sample.toml
var Sample string

// ImportEntries returns the entries of one edit that creates every section of a document
// on an empty config stream. The caller appends them as one record.
func ImportEntries(document, actor, editID string, nowMs int64) ([]*recordpb.Entry, error) {
	_, texts, err := Parse(document)
	if err != nil {
		return nil, fmt.Errorf("import of a document: %w", err)
	}
	entries := make([]*recordpb.Entry, len(texts))
	for i, t := range texts {
		entries[i] = &recordpb.Entry{AtMs: nowMs, Kind: &recordpb.Entry_ConfigRevision{ConfigRevision: &recordpb.ConfigRevision{
			Section: t.Section, Content: t.Content, Actor: actor, EditId: editID, AtMs: nowMs,
		}}}
	}
	return entries, nil
}
