package port

import "context"

// Directory is the platform's list of live and leaving instances and backend
// servers. It is eventually consistent: new entries can be missing and dead ones
// can still be listed.
type Directory interface {
	List(ctx context.Context) (Listing, error)
}

// Listing is the content of the directory at one time.
type Listing struct {
	Instances []InstanceEntry `json:"instances"`
	Servers   []ServerEntry   `json:"servers"`
}

// InstanceEntry is one instance of jacinthnotch.
type InstanceEntry struct {
	ID string `json:"id"`
	// PeerAddress is the IP address and port of the peer listener.
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
	Leaving     bool   `json:"leaving"`
	// Weight is the instance's size relative to the others, 100 for the usual size.
	Weight int `json:"weight"`
}

// ServerEntry is one backend server.
type ServerEntry struct {
	ID string `json:"id"`
	// Service is the service of the configuration that the server belongs to.
	Service string `json:"service"`
	// Address is the IP address and port of the server.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}
