package body

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// account records what is taken, and refuses to hold more than its limit.
type account struct {
	carawayspread.CallerAccount
	limit, used, most int64
}

func (a *account) Take(n int64) error {
	if a.used+n > a.limit {
		return carawayspread.ErrGivenUp
	}
	a.used += n
	a.most = max(a.most, a.used)
	return nil
}

func (a *account) Return(n int64) { a.used = max(0, a.used-n) }

// Guards against a body that is cut, joined wrongly or held twice over, however it arrives, and against one that takes
// memory for what its caller only announces.
func TestRead(t *testing.T) {
	const limit = 1 << 20
	text := strings.Repeat("0123456789abcdef", limit/16)
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		source io.Reader
		length int64
		memory int64
		want   string
		err    error
		most   int64 // taken at a time, in bytes
	}{
		"empty":                  {strings.NewReader(""), 0, limit, "", nil, 0},
		"no body, chunks":        {strings.NewReader(""), -1, limit, "", nil, firstBytes},
		"small":                  {strings.NewReader("body"), 4, limit, "body", nil, 4},
		"largest":                {strings.NewReader(text), limit, 2 * limit, text, nil, limit * 3 / 2},
		"largest, chunks":        {strings.NewReader(text), -1, 2 * limit, text, nil, limit * 3 / 2},
		"a byte at a time":       {iotest.OneByteReader(strings.NewReader(text)), -1, 2 * limit, text, nil, limit * 3 / 2},
		"end with the last byte": {iotest.DataErrReader(strings.NewReader(text)), limit, 2 * limit, text, nil, limit * 3 / 2},
		"announced too large":    {strings.NewReader(text), limit + 1, 0, "", TooLargeError{limit}, 0},
		"too large, chunks":      {strings.NewReader(text + "x"), -1, 2 * limit, "", TooLargeError{limit}, limit * 3 / 2},
		"too large by net/http":  {http.MaxBytesReader(nil, io.NopCloser(strings.NewReader(text)), 10), -1, limit, "", TooLargeError{limit}, firstBytes},
		"announced, breaks":      {iotest.ErrReader(broken), limit, limit, "", broken, firstBytes},
		"ends early":             {iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader(text))), limit, limit, "", iotest.ErrTimeout, firstBytes},
		"shorter than stated":    {strings.NewReader("body"), limit, limit, "", io.ErrUnexpectedEOF, firstBytes},
		"no memory":              {strings.NewReader(text), limit, limit, "", carawayspread.ErrGivenUp, limit},
	} {
		t.Run(name, func(t *testing.T) {
			a := &account{limit: c.memory}
			got, err := Read(a, c.source, c.length, limit)
			qt.Check(t, string(got) == c.want, qt.IsTrue, qt.Commentf("%d bytes", len(got)))
			qt.Check(t, errors.Is(err, c.err), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, a.most <= c.most, qt.IsTrue, qt.Commentf("%d bytes taken", a.most))
			if err != nil {
				qt.Check(t, a.used, qt.Equals, int64(0))
			} else {
				qt.Check(t, a.used >= int64(len(got)), qt.IsTrue)
			}
		})
	}
}
