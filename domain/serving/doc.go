// Package serving holds what an instance knows about the fleet that it serves:
// the routes and services of the newest configuration and the registered backend
// servers. It does no I/O and reads no clock; times are arguments.
package serving
