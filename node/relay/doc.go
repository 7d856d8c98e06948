// Package relay lets an instance that cannot reach the platform's store make its calls
// through another instance (a peer) that can.
//
// Store implements port.Store over several paths. The instance's own path comes first. A
// call that fails there, or gets no response within several times the usual latency, is
// repeated through a peer. A call may therefore be made twice, which is safe because a
// duplicate of any record that jacinthnotch writes is void or harmless. Package
// policy/pathselect selects the paths.
package relay
