package port

import "context"

// Directory is the platform's list of live and leaving instances and backend
// servers. It lags behind reality in both directions.
type Directory interface {
	List(ctx context.Context) (Listing, error)
}

// Listing is one answer of the directory.
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
	// Service is the configuration's service that the server belongs to.
	Service string `json:"service"`
	// Address is the IP address and port of the server.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
}
