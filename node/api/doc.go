// Package api declares the interfaces and types that the HTTP handlers of an
// instance use to reach its other parts: keyed calls, jobs and files, inference,
// plain services, the configuration in effect and the state of the instance.
//
// Implementations convert the errors of the layers below them to a *Refusal. Any
// other error is treated as an internal error with an unknown outcome.
package api
