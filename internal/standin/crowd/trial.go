package crowd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Trial is a crowd at one process, with ordinary clients beside it.
type Trial struct {
	Target   Target
	Size     int // clients of the crowd
	PID      int // of the process
	Ports    []int
	Ordinary func() *http.Request // returns a request of an ordinary client
	WithBody func() *http.Request // returns one with a body

	// What the process is granted, and whether it must keep the connection that was set up before the crowd came.
	Megabytes, Descriptors int
	KeptLives              bool
}

// Result is what a trial showed.
type Result struct {
	Sent        int64 // bytes, by the crowd
	Memory      int64 // the most bytes that the process held, with those received but not read
	Unread      int64 // the part of them that was received but not read
	Descriptors int   // the most that the process had open
	// Ordinary clients were served while the crowd was there, on a connection that was set up before and on a new
	// one, and on a new one after the crowd had gone.
	ServedKept, ServedNew, ServedAfter bool
	ServedBody, ServedBodyAfter        bool // those with a body, on new connections
	KeptClosed                         bool // the process closed the connection that was set up before
}

// OrdinaryBody returns the body of an ordinary request, whose length is not stated if chunked is set.
func OrdinaryBody(chunked bool) io.Reader {
	const bytes = 24 << 10 // several buffers of a connection
	body := strings.NewReader(strings.Repeat("x", bytes))
	if chunked {
		return io.MultiReader(body)
	}
	return body
}

// Run has a crowd of these kinds call the process. It returns false if the process served nobody before.
func (t Trial) Run(kinds ...Client) (Result, bool) {
	kept, fresh := NewOrdinary(true), NewOrdinary(false)
	if !kept.Served(t.Ordinary) {
		return Result{}, false
	}
	dials := kept.Dials()
	meter := Measure(t.PID, t.Ports...)
	clients := Start(t.Target, t.Size, kinds...)
	clients.Settle()
	r := Result{ServedKept: kept.Served(t.Ordinary), KeptClosed: kept.Dials() != dials, ServedNew: fresh.Served(t.Ordinary)}
	r.ServedBody = fresh.Served(t.WithBody)
	clients.Close()
	r.ServedBodyAfter = fresh.Served(t.WithBody)
	r.ServedAfter, r.Sent = fresh.Served(t.Ordinary), clients.Sent()
	r.Memory, r.Unread, r.Descriptors = meter.Stop()
	return r, true
}

// Violations returns what a result shows that must not be.
func (t Trial) Violations(r Result) []string {
	var found []string
	for text, ok := range map[string]bool{
		fmt.Sprintf("%d MB of %d", r.Memory>>20, t.Megabytes):             r.Memory <= int64(t.Megabytes)<<20,
		fmt.Sprintf("%d descriptors of %d", r.Descriptors, t.Descriptors): r.Descriptors <= t.Descriptors,
		"an ordinary client was not served on a kept connection":          r.ServedKept,
		"the kept connection was closed":                                  !t.KeptLives || !r.KeptClosed,
		"an ordinary client was not served on a new connection":           r.ServedNew,
		"an ordinary client was not served after the crowd":               r.ServedAfter,
		"an ordinary body was not served":                                 r.ServedBody,
		"an ordinary body was not served after the crowd":                 r.ServedBodyAfter,
	} {
		if !ok {
			found = append(found, text)
		}
	}
	return found
}

// String returns the figures.
func (r Result) String() string {
	return fmt.Sprintf("sent %d MB, most memory %d MB, of it unread %d MB, most descriptors %d",
		r.Sent>>20, r.Memory>>20, r.Unread>>20, r.Descriptors)
}
