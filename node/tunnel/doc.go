// Package tunnel connects an instance with backend servers through another instance while its own
// links to them are down.
//
// A tunnel is a TCP connection to the other instance, on which the instance sends CONNECT IP:PORT.
// After the response 200, the bytes for the server follow as they are, and those of the server in chunks.
// The last chunk says that the server ended the connection in an orderly way; a tunnel that ends
// without it broke off. The other instance copies bytes and decides nothing.
package tunnel
