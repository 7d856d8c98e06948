package peers

import (
	"net"
	"net/netip"
)

// PacketConn sends and receives datagrams. *net.UDPConn implements it.
type PacketConn interface {
	// ReadFromUDPAddrPort reads a datagram into b and returns its length and its sender.
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	// WriteToUDPAddrPort sends a datagram, which may be lost.
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	// Close makes pending and later reads fail with net.ErrClosed.
	Close() error
}

var _ PacketConn = (*net.UDPConn)(nil)

// listen opens the datagram socket at IP:PORT.
func listen(address string) (PacketConn, error) {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp4", udp)
}
