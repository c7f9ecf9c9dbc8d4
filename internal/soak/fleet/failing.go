package fleet

import "time"

const (
	// refusalShare is the share of requests that workers refuse, which takes the retry budget to its limit.
	refusalShare = 0.8
	// longThinkTime gives each gateway some ten requests a second, so that the slack of the retry budget
	// matters more than its ratio.
	longThinkTime = 300 * time.Millisecond
)

// Failing makes all workers refuse most requests, of which callers send few. It must be called before Run.
func (f *Fleet) Failing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.thinkTime = longThinkTime
	f.refusals = refusalShare
	for _, p := range f.workers {
		p.worker.SetRefusals(refusalShare)
	}
}
