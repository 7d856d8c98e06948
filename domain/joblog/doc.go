// Package joblog derives the state of batch jobs from a log of records, applied in the
// order of the store's partition.
//
// Conflicts are resolved by log order alone: the first acceptance of a job, the first
// result of an item, the first claim of a job from its current holder and the first end
// of a job take effect; later ones are ignored. Duplicate, delayed and concurrent
// appends are therefore harmless, and all instances that apply the same records have
// the same state, with the same results at the same positions.
package joblog
