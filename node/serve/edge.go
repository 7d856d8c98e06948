package serve

import (
	"github.com/jacinthnotch/jacinthnotch/node/edge"
)

const (
	// reservedDescriptors are left for files, and defaultDescriptors apply if the settings state
	// no limit.
	reservedDescriptors = 200
	defaultDescriptors  = 1024
	// callersDescriptorShare and peersDescriptorShare are the shares of the other descriptors for
	// connections of callers and from other instances. The rest is for connections to servers,
	// instances and the store.
	callersDescriptorShare = 0.5
	peersDescriptorShare   = 0.15
	// callersMemoryShare, peersMemoryShare and readinessMemoryShare are the shares of the host's
	// memory for what the requests on the connections hold.
	callersMemoryShare   = 0.2
	peersMemoryShare     = 0.1
	readinessMemoryShare = 0.02
	// connMemoryShare is the share of the host's memory for callers' connections themselves,
	// which take connBytes each.
	connMemoryShare = 0.15
	connBytes       = 20 << 10
	// maxReadinessConns and maxReadinessHeaderBytes limit the connections of the load balancer and of
	// the operator's tools, and their heads.
	maxReadinessConns       = 32
	maxReadinessHeaderBytes = 8 << 10
	// tunnelsDescriptorShare is the share of the descriptors for tunnels of other instances, which take
	// two each, and tunnelsMemoryShare that of the memory, of which each takes tunnelBytes.
	tunnelsDescriptorShare = 0.1
	tunnelsMemoryShare     = 0.05
	tunnelBytes            = 40 << 10
	// minConns is the number of connections that an account takes in any case.
	minConns = 16
)

// accounts limit what connections from outside hold.
type accounts struct{ callers, peers, readiness *edge.Account }

// newAccounts returns the accounts for the limits of a host.
func newAccounts(l Limits) accounts {
	descriptors := l.Descriptors
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	memory, sockets := float64(l.MemoryMB<<20), float64(max(0, descriptors-reservedDescriptors))
	callers := min(callersDescriptorShare*sockets, connMemoryShare*memory/connBytes)
	return accounts{
		callers:   edge.NewAccount("callers", int(callersMemoryShare*memory), max(minConns, int(callers))),
		peers:     edge.NewAccount("instances", int(peersMemoryShare*memory), max(minConns, int(peersDescriptorShare*sockets))),
		readiness: edge.NewAccount("readiness", int(readinessMemoryShare*memory), maxReadinessConns),
	}
}

// maxTunnels returns the number of tunnels of other instances for the limits of a host.
func maxTunnels(l Limits) int {
	descriptors := l.Descriptors
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	sockets := float64(max(0, descriptors-reservedDescriptors))
	return max(minConns, int(min(tunnelsDescriptorShare*sockets/2, tunnelsMemoryShare*float64(l.MemoryMB<<20)/tunnelBytes)))
}

// callerLimits returns the limits of the configuration in force.
func (i *Instance) callerLimits() edge.Limits {
	revision := i.view.Revision()
	if revision == nil {
		return edge.Limits{}
	}
	l := revision.Limits
	return edge.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// noLimits are the limits of connections without requests of callers.
func noLimits() edge.Limits { return edge.Limits{} }

// readinessLimits returns the limits on the readiness address.
func readinessLimits() edge.Limits { return edge.Limits{HeaderBytes: maxReadinessHeaderBytes} }
