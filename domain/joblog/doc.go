// Package joblog folds the records of batch jobs, in the order of the store's
// partition, into the state of the jobs.
//
// The order of the records is the only arbiter: the first acceptance of a job, the
// first result of an item, the first claim of a job from its holder and the first end of
// a job stand, later ones are void. So
// doubled, late and concurrent appends are harmless, and every instance that folds
// the same records has the same state, with the same results at the same positions.
package joblog
