package carawayspread

import (
	"context"
	"errors"
)

// ErrNoObject says that the object store holds nothing under this name.
var ErrNoObject = errors.New("no object under this name")

// ObjectStore is the platform's object store. It keeps what is too large for
// the table: snapshots of the configuration and long stored answers.
type ObjectStore interface {
	// Get reads a whole object, or returns ErrNoObject.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores a whole object, replacing an older one.
	Put(ctx context.Context, name string, body []byte) error
}
