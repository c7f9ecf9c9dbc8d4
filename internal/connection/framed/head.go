package framed

import (
	"fmt"
	"net/http"
	"slices"

	"carawayspread"
)

// Statuses of answers (RFC 9110, 15). Interim ones come before an answer, and 101 only follows a request to change
// the protocol, which nothing here sends.
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

// checkHead returns an error if what net/http has parsed is not the head of an answer. It takes other statuses,
// refuses to pass some of them on, and frames bodies by the rules of the version that the head states.
func checkHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return malformed("version %q", resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return malformed("status %q", resp.Status)
	}
	return nil
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, slices.Insert(args, 0, any(carawayspread.ErrMalformed))...)
}
