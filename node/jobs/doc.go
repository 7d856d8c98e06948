// Package jobs stores batch jobs in the platform's store and runs their items.
//
// The index partition of the store holds small records, such as the acceptance of a
// job, the result of an item and the end of a job. Package domain/joblog derives the
// state of the jobs from them. The items of submissions and the outputs are blobs in
// the bulk topic. Records refer to them by extent, and they are read on demand through
// a bounded cache.
//
// Every instance answers calls about every job. The instance that accepted a job runs
// its items; when it is lost, the remaining instances divide its jobs by rendezvous
// hashing. This division is a preference only: an item that runs twice has one result.
package jobs
