// Package port declares the interfaces (ports) through which jacinthnotch
// accesses the platform and the backend servers, and their error values.
//
// The protocols behind the ports depend on the deployment. An adapter
// implements one interface, applies the deadline of the context and maps the
// errors of its transport to the errors of this package. Adapters never retry
// a request: retries are decided by the policy module.
package port
