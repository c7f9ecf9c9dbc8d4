package carawayspread

import "errors"

// ErrGivenUp says that a request was given up before all of it had arrived, since the process had no room left for
// what its callers send. It has not run.
var ErrGivenUp = errors.New("the process has no room left for what its callers send")

// CallerAccount accounts for one connection of a caller: whether it waits for its caller, and the memory that its
// request occupies. It is safe for concurrent use.
type CallerAccount interface {
	// Arrived records that n bytes of a request have arrived.
	Arrived(n int)
	// Take accounts for n more bytes that the request occupies until it is answered. It may wait until other
	// requests are given up. Its error is ErrGivenUp.
	Take(n int64) error
	// TakeForConnection accounts for n more bytes that the connection occupies until it is closed. It returns false,
	// and nothing is taken, if the process needs its memory otherwise.
	TakeForConnection(n int64) bool
	// Return accounts for n bytes of the request less.
	Return(n int64)
	// Received records that the whole request has arrived. From then on it is not given up. Its error is ErrGivenUp:
	// the request must not run.
	Received() error
	// Answered records that the request was answered, and that the connection waits for the next one.
	Answered()
	// Close ends the account.
	Close()
}
