// Package port declares the narrow interfaces through which jacinthnotch
// reaches the platform and the backend servers, with their error values.
//
// The protocols behind the ports belong to the deployment. An adapter
// implements one interface, passes the context's deadline on and translates
// its transport's errors into the errors of this package. Adapters never
// repeat a request on their own: retries are decided by the policy module.
package port
