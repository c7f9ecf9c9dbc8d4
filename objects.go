package carawayspread

import (
	"context"
	"errors"
)

// ErrNoObject means that the object store holds no object with this name.
var ErrNoObject = errors.New("no object under this name")

// ObjectStore is the platform's object store. It holds what is too large for the table: snapshots
// of the configuration and long stored answers.
type ObjectStore interface {
	// Get reads a whole object, or returns ErrNoObject.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores a whole object and replaces an existing one.
	Put(ctx context.Context, name string, body []byte) error
}
