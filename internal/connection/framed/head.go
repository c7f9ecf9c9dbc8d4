package framed

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"carawayspread"
)

// Statuses of answers (RFC 9110, 15). Interim ones come before an answer, and 101 only follows a request to change
// the protocol, which nothing here sends.
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

// checkHead returns an error if what net/http has parsed from these lines is not the head of an answer. net/http takes
// other statuses and versions, takes fields whose names hold blanks for fields that it does not know, and drops an
// encoding that the version of the answer does not have, with the framing of the body.
func checkHead(resp *http.Response, lines headLines) error {
	switch {
	case lines.folded:
		return malformed("a line of the head begins with a blank")
	case lines.encoded && !resp.ProtoAtLeast(1, 1):
		return malformed("version %q with an encoding for the transfer", resp.Proto)
	case resp.ProtoMajor != 1 && resp.TLS == nil: // TLS may agree on another version
		return malformed("version %q", resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return malformed("status %q", resp.Status)
	}
	for name := range resp.Header {
		if !isToken(name) {
			return malformed("field name %q", name)
		}
	}
	return nil
}

// isToken reports whether the text may be the name of a field (RFC 9110, 5.6.2).
func isToken(text string) bool {
	return text != "" && strings.IndexFunc(text, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	}) < 0
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, slices.Insert(args, 0, any(carawayspread.ErrMalformed))...)
}

// headLines follows the lines of a head as they arrive, for what the parsed head does not show: net/http joins a line
// that begins with a blank to the line before it, and drops Transfer-Encoding.
type headLines struct {
	line    []byte // the beginning of the current line
	lines   int    // before that
	interim bool   // another head follows this one
	folded  bool   // a line begins with a blank
	encoded bool   // Transfer-Encoding is stated
	ended   bool
}

// transferEncoding is also as much of a line as says what it is.
const transferEncoding = "Transfer-Encoding:"

// add reads more bytes. It ignores those behind the head.
func (h *headLines) add(p []byte) {
	for _, b := range p {
		switch {
		case h.ended:
			return
		case b == '\n':
			h.endLine()
		case len(h.line) < len(transferEncoding):
			h.line = append(h.line, b)
		}
	}
}

func (h *headLines) endLine() {
	line := bytes.TrimSuffix(h.line, []byte("\r"))
	switch {
	case h.lines == 0:
		_, status, _ := bytes.Cut(line, []byte(" "))
		h.interim = bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
	case len(line) == 0 && h.interim:
		*h = headLines{line: h.line[:0]}
		return
	case len(line) == 0:
		h.ended = true
	case line[0] == ' ' || line[0] == '\t':
		h.folded = true
	case strings.EqualFold(string(line), transferEncoding):
		h.encoded = true
	}
	h.line = h.line[:0]
	h.lines++
}
