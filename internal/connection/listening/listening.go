// Package listening checks whether a process accepts connections at an address.
package listening

import (
	"context"
	"errors"
	"fmt"
	"net"

	"golang.org/x/sys/unix"

	"carawayspread"
)

// Probe returns nil if a connection to the address, an IP address and port, is accepted. An error that
// matches carawayspread.ErrNotListening proves that no process listens there; after any other error
// that is unknown. ctx bounds the time.
func Probe(ctx context.Context, address string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, unix.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", carawayspread.ErrNotListening, err)
	}
	if err != nil {
		return err
	}
	return conn.Close()
}
