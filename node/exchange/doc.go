// Package exchange makes single HTTP/1.1 exchanges with backend servers over kept
// connections.
//
// It repeats nothing and says of each failed exchange whether a byte of the
// request can have reached the server. A connection carries one exchange at a
// time and is kept only after a whole answer with nothing behind it, so that bytes
// of two answers never mix. An answer that bears the id of another request is
// passed over.
package exchange
