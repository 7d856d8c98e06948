// Package serving models the state that an instance needs to serve requests: the
// routes and services of the current configuration revision and the registry of
// backend servers. It performs no I/O and never reads the clock; callers pass the
// current time.
package serving
