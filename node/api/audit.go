package api

import "github.com/jacinthnotch/jacinthnotch/wire/recordpb"

// AuditSink receives the audit entries of an instance. Record must not block.
type AuditSink interface {
	Record(entry *recordpb.Audit)
}
