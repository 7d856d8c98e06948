// Package exchange sends HTTP/1.1 requests to backend servers over pooled connections.
//
// It never retries a request, and reports for each failure whether any byte of the
// request may have reached the server. A connection carries one request at a time and
// is reused only after a complete response with no bytes after it, so that the bytes of
// two responses are never mixed up. A response that carries the ID of another request
// is discarded and its connection is not reused; on a connection that was used before, a
// response without an ID is not accepted. The head of a response is limited in size.
package exchange
