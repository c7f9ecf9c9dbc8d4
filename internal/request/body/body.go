// Package body reads the bodies of requests into memory that the connections of their callers account for.
package body

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"

	"carawayspread"
)

// firstBytes is the size of the first buffer of a body, which is taken before anything of it has arrived.
const firstBytes = 4 << 10

// TooLargeError says that a body exceeds its limit.
type TooLargeError struct{ limit int64 }

func (e TooLargeError) Error() string {
	return fmt.Sprintf("the body is larger than the limit of %d bytes", e.limit)
}

// Limit returns the limit in bytes.
func (e TooLargeError) Limit() int64 { return e.limit }

// Read reads a body of the stated length, which is negative if it is unknown. It takes memory only for what arrives,
// and returns all of it with an error: a TooLargeError at once if the stated length exceeds the limit,
// carawayspread.ErrGivenUp, or that of the source.
func Read(account carawayspread.CallerAccount, source io.Reader, length, limit int64) ([]byte, error) {
	bound := limit
	switch {
	case length > limit:
		return nil, TooLargeError{limit}
	case length == 0:
		return nil, nil
	case length > 0:
		bound = length
	}
	r := &reader{account: account, source: source, bound: bound, whole: length > 0}
	body, err := r.read()
	if err == nil {
		return body, nil
	}
	if account.Take(0) != nil { // also where the read was interrupted
		account.Return(math.MaxInt64)
		return nil, carawayspread.ErrGivenUp
	}
	account.Return(int64(cap(r.buffer)))
	return nil, tooLarge(err, limit)
}

// tooLarge replaces the error of an http.MaxBytesReader.
func tooLarge(err error, limit int64) error {
	var exceeded *http.MaxBytesError
	if errors.As(err, &exceeded) {
		return TooLargeError{limit}
	}
	return err
}

type reader struct {
	account carawayspread.CallerAccount
	source  io.Reader
	bound   int64  // largest length, in bytes
	whole   bool   // bound is the length
	buffer  []byte // its capacity is taken from the account
}

func (r *reader) read() ([]byte, error) {
	for {
		if len(r.buffer) == cap(r.buffer) && int64(len(r.buffer)) < r.bound {
			if err := r.grow(); err != nil {
				return nil, err
			}
		}
		n, err := r.source.Read(r.free())
		if int64(len(r.buffer)+n) > r.bound {
			return nil, TooLargeError{r.bound}
		}
		r.buffer = r.buffer[:len(r.buffer)+n]
		switch {
		case errors.Is(err, io.EOF) && r.whole && int64(len(r.buffer)) < r.bound:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF), r.whole && int64(len(r.buffer)) == r.bound:
			return r.buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

// free returns the free part of the buffer, or a byte in which nothing must arrive.
func (r *reader) free() []byte {
	if len(r.buffer) < cap(r.buffer) {
		return r.buffer[len(r.buffer):cap(r.buffer)]
	}
	return make([]byte, 1)
}

// grow doubles the buffer. Both buffers are accounted for until the bytes are copied.
func (r *reader) grow() error {
	size := min(r.bound, max(firstBytes, 2*int64(cap(r.buffer))))
	if err := r.account.Take(size); err != nil {
		return err
	}
	next := make([]byte, len(r.buffer), size)
	copy(next, r.buffer)
	r.account.Return(int64(cap(r.buffer)))
	r.buffer = next
	return nil
}
