package callers

import (
	"context"
	"net"
)

type connKey struct{}

// lingerer is a TCP connection.
type lingerer interface{ SetLinger(seconds int) error }

// ConnContext returns a context that holds the connection; it is for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ResetOnLoss makes the kernel reset the connection of the request with that context if the process is
// lost, until done is called. It does nothing for a context without a connection.
//
// The kernel closes the connections of a process that is killed in order. Of an answer that ends with
// its connection, that looks complete.
func ResetOnLoss(ctx context.Context) (done func(), err error) {
	conn, ok := ctx.Value(connKey{}).(lingerer)
	if !ok {
		return func() {}, nil
	}
	if err := conn.SetLinger(0); err != nil {
		return func() {}, err
	}
	return func() { _ = conn.SetLinger(-1) }, nil // an error means that the connection has gone
}
