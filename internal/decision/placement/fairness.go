package placement

import "carawayspread"

const (
	// largestShare is the part of a route's requests that counts as its largest.
	largestShare = 0.12
	// quantileStep is the relative step by which each request moves the estimate of the size at
	// which the largest requests begin; it follows a shift of the mix within some hundred requests.
	quantileStep = 0.05
	// fairnessWindow is the number of requests over which admission shares are averaged.
	fairnessWindow = 150
	// minAdmissionRatio is the admission share that the largest requests should have, relative to
	// that of the others. fullToleranceLag is the lag below it at which they get the full extra
	// tolerance.
	minAdmissionRatio = 0.65
	fullToleranceLag  = 0.1
	// maxExtraTolerance is the most extra tolerance that the largest requests get, relative to the
	// time that they would take without a queue.
	maxExtraTolerance = 1.0
)

// fairness keeps the largest requests of a route from being refused because of their size alone.
//
// For any engines and targets there is a size from which no request can meet the target, and
// refusing those requests helps all others; the largest requests of a class would hardly ever be
// answered. They get the more tolerance the further their admission share lags behind that of the
// other requests of the route.
type fairness struct {
	threshold float64    // size from which a request is one of the largest
	arrived   [2]float64 // decaying counts of first submissions; index 1 for the largest
	admitted  [2]float64 // decaying counts of admitted requests, first submissions and retries
}

// weightedTokens returns the work of a request in prompt tokens; an output token counts as ten.
func weightedTokens(p *carawayspread.Prompt) float64 {
	return float64(p.Tokens) + 10*float64(sequenceTokens(p)-p.Tokens)
}

// recordArrival counts the first submission of a request and returns its kind: 1 for the largest, 0
// for others.
func (f *fairness) recordArrival(size float64) int {
	if f.threshold == 0 {
		f.threshold = size
	}
	kind := f.kind(size)
	if kind == 1 {
		f.threshold += quantileStep * f.threshold * (1 - largestShare)
	} else {
		f.threshold -= quantileStep * f.threshold * largestShare
	}
	f.arrived[kind] += 1 - f.arrived[kind]/fairnessWindow
	f.admitted[kind] -= f.admitted[kind] / fairnessWindow
	return kind
}

func (f *fairness) kind(size float64) int {
	if size > f.threshold {
		return 1
	}
	return 0
}

// recordAdmission counts an admitted request.
func (f *fairness) recordAdmission(kind int) { f.admitted[kind]++ }

// extraTolerance returns the tolerance that a request gets in addition to the usual one.
func (f *fairness) extraTolerance(kind int) float64 {
	if kind == 0 {
		return 0
	}
	return maxExtraTolerance * min(1, max(0, f.lag()/fullToleranceLag))
}

// lag returns by how much the admission share of the largest requests is below the one that they
// should have; negative if above, and zero if it is not known.
func (f *fairness) lag() float64 {
	if f.arrived[0] < 1 || f.arrived[1] < 1 {
		return 0
	}
	return minAdmissionRatio*f.admitted[0]/f.arrived[0] - f.admitted[1]/f.arrived[1]
}
