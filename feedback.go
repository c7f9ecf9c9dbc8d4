package carawayspread

import "time"

// Feedback is what an endpoint says of itself in an answer, beside the answer.
type Feedback struct {
	// Limited says that the endpoint names Rate.
	Limited bool
	// Rate is how many requests a second the endpoint takes from all processes
	// together, for as long as its answers say so; finite and not negative.
	Rate float64
	// Draining says that the endpoint takes no new work and will end.
	Draining bool
	// RetryAfter is for how long the endpoint wants nothing from the process that it
	// refused; zero where it does not say.
	RetryAfter time.Duration
}
