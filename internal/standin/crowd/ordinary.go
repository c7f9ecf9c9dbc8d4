package crowd

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// tries is how often an ordinary client sends its request again that is refused or cut, and pause the time between.
const (
	tries         = 20
	pause         = 100 * time.Millisecond
	answerTimeout = 5 * time.Second
)

// Ordinary is a client that behaves.
type Ordinary struct {
	client http.Client
	dials  atomic.Int64
}

// NewOrdinary returns a client. It keeps its connection if keep is set.
func NewOrdinary(keep bool) *Ordinary {
	o := &Ordinary{}
	dialer := net.Dialer{Timeout: dialTimeout}
	o.client = http.Client{Timeout: answerTimeout, Transport: &http.Transport{
		DisableKeepAlives: !keep, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			o.dials.Add(1)
			return dialer.DialContext(ctx, network, address)
		},
	}}
	return o
}

// Dials returns how many connections the client has set up.
func (o *Ordinary) Dials() int { return int(o.dials.Load()) }

// Served sends a request until it is served, some times at most.
func (o *Ordinary) Served(request func() *http.Request) bool {
	for range tries {
		if o.serve(request()) {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

func (o *Ordinary) serve(r *http.Request) bool {
	resp, err := o.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && (resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated)
}
