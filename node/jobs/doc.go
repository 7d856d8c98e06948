// Package jobs keeps batch jobs in the platform's store and runs their items.
//
// The store's index partition holds one small record for each acceptance, result
// and end; package domain/joblog folds them. Submissions and outputs are blobs in
// the bulk topic, which records refer to by extent and which are read on demand
// through a bounded cache. Any instance answers any call about a job. The instance
// that accepted a job runs its items; when it is lost, the instances that are left
// share its jobs by rendezvous hashing. That choice is a preference only: an item
// that runs twice is listed once.
package jobs
