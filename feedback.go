package carawayspread

import "time"

// Feedback is what an endpoint states about itself along with an answer.
type Feedback struct {
	// Limited says that the endpoint sets a rate limit, which is Rate.
	Limited bool
	// Rate is how many requests per second the endpoint accepts from all processes together, as
	// long as its answers say so; finite and not negative.
	Rate float64
	// Draining says that the endpoint takes no new work and will shut down.
	Draining bool
	// RetryAfter is how long the refused process must send nothing to the endpoint; zero if the
	// endpoint does not say.
	RetryAfter time.Duration
}
