// Package workspace models the teams of callers that share a fleet: which API key belongs to
// which workspace, and what a workspace may use. Keys are kept as hashes only. The package
// performs no I/O.
package workspace
