// Package policy is the parent of the decision packages. Each decides from an
// event and a time and does no I/O.
package policy
