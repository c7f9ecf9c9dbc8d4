package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"strings"
	"time"
)

// Pace says how a request is sent. The zero value sends it at once, with the time that its route allows.
type Pace struct {
	Body time.Duration // in which the body is sent; zero for at once
	Left time.Duration // for which the caller waits; zero if it does not say so
	// Events is after how many events the caller of a stream breaks off; zero if it does not.
	Events int
}

// errBrokeOff ends an answer that its caller did not read to its end.
var errBrokeOff = errors.New("the caller broke off")

// readEvents reads so many events of a stream.
func readEvents(body io.Reader, n int) (string, error) {
	var read strings.Builder
	r := bufio.NewReader(body)
	for n > 0 {
		line, err := r.ReadString('\n')
		read.WriteString(line)
		if err == io.EOF {
			return read.String(), nil
		}
		if err != nil {
			return read.String(), err
		}
		if line == "\n" {
			n--
		}
	}
	return read.String(), errBrokeOff
}

// SendPaced sends one request at that pace and waits for the complete answer.
func (c *Caller) SendPaced(ctx context.Context, kind Kind, id string, pace Pace) Answer {
	a := Answer{ID: id, Kind: kind, Pace: pace, SentAt: time.Now()}
	a.Err = c.send(ctx, &a, id)
	a.EndedAt = time.Now()
	return a
}

// pacedReader yields a text byte by byte, with a pause before each.
type pacedReader struct {
	text  string
	pause time.Duration
}

func (r *pacedReader) Read(p []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	p[0], r.text = r.text[0], r.text[1:]
	return 1, nil
}
