package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"carawayspread/internal/standin/crowd"
)

const (
	// crowdSize clients of crowdBodyBytes each exceed what a gateway is granted.
	crowdSize      = 150
	crowdBodyBytes = 2 << 20
	// A crowd stays for up to maxCrowdTime, and the next one comes at once.
	minCrowdTime = 500 * time.Millisecond
	maxCrowdTime = 5 * time.Second
	// crowdHead is refused nowhere before its body is read.
	crowdHead = "POST /lookup/x HTTP/1.1\r\nHost: a.example\r\nX-Number: {n}\r\n"
)

// Crowds has clients that do not behave call all gateways while the schedule runs. None of their requests is ever
// complete.
func (f *Fleet) Crowds() {
	f.crowds = true
	f.store.SetBodyLimit(crowdBodyBytes)
	f.publishRoutes()
}

// sendCrowds has one crowd after the other call a gateway until ctx ends.
func (f *Fleet) sendCrowds(ctx context.Context, g *gateway, rng *rand.Rand) {
	for ctx.Err() == nil {
		clients := crowd.Start(crowd.Target{Address: g.listen, Head: crowdHead, Limit: crowdBodyBytes}, crowdSize, crowd.Unfinished()...)
		select {
		case <-ctx.Done():
		case <-f.clock.After(minCrowdTime + time.Duration(rng.Int64N(int64(maxCrowdTime-minCrowdTime)))):
		}
		clients.Close()
	}
}
