// Package sizeshares divides the admissions of a route among requests of different sizes.
//
// Where more arrives than can be served, requests that take little are admitted more often: they fit
// into what is left of any target. Each tenth of the sizes is therefore owed a part of all
// admissions, whatever its requests take.
package sizeshares

const (
	// classes is the number of equal parts into which the sizes are divided.
	classes = 10
	// sampleSize is the number of latest arrivals that the sizes are compared with.
	sampleSize = 256
	// minRatio is the admission share that each class is owed, relative to that of all requests.
	minRatio = 0.65
	// maxOwed bounds the admissions that a class is owed, so that one that has not arrived for a
	// while does not take all places when it does. Admissions beyond its part are not held against it.
	maxOwed = 4.0
)

// Shares counts the admissions of one route by size. It is not safe for concurrent use.
type Shares struct {
	sizes    []float32 // of the latest arrivals; at most sampleSize
	next     int       // place of the next arrival in sizes, once it is full
	arrivals [classes]float64
	total    float64          // sum of arrivals
	owed     [classes]float64 // admissions; from 0 to maxOwed
}

// New returns Shares without arrivals. Each class is owed half an admission, the mean of what was
// owed before the process started.
func New() *Shares {
	s := &Shares{total: 1}
	for class := range s.arrivals {
		s.arrivals[class], s.owed[class] = 1.0/classes, 0.5
	}
	return s
}

// Arrived records the size of a request, in any unit, when its caller first sends it.
func (s *Shares) Arrived(size float64) {
	if len(s.sizes) < sampleSize {
		s.sizes = append(s.sizes, float32(size))
	} else {
		s.sizes[s.next] = float32(size)
		s.next = (s.next + 1) % sampleSize
	}
	for class := range s.arrivals {
		s.arrivals[class] -= s.arrivals[class] / sampleSize
	}
	s.arrivals[s.Class(size)]++
	s.total += 1 - s.total/sampleSize
}

// Class returns the class of a size, from 0 for the smallest.
func (s *Shares) Class(size float64) int {
	if len(s.sizes) == 0 {
		return 0
	}
	below, equal := 0, 0
	for _, other := range s.sizes {
		switch {
		case other < float32(size):
			below++
		case other == float32(size):
			equal++
		}
	}
	return min(classes-1, classes*(2*below+equal)/(2*len(s.sizes)))
}

// Owed returns how many admissions a class is owed.
func (s *Shares) Owed(class int) float64 { return s.owed[class] }

// Admitted records that a request of the class was admitted, and returns how much of what the class
// was owed that has taken: at most one admission.
func (s *Shares) Admitted(class int) (taken float64) {
	s.accrue(1)
	taken = min(1, s.owed[class])
	s.owed[class] -= taken
	return taken
}

// Unserved records that a request of the class which was admitted has ended without a complete
// answer. What its admission has taken is owed again.
func (s *Shares) Unserved(class int, taken float64) {
	s.owed[class] += taken
	s.accrue(-1)
}

// accrue adds to each class its part of n admissions.
func (s *Shares) accrue(n float64) {
	for class := range s.owed {
		part := minRatio * s.arrivals[class] / s.total
		s.owed[class] = max(0, min(maxOwed, s.owed[class]+n*part))
	}
}
