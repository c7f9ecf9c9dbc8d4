package eventorder

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxServices bounds the services of which something is kept, at about 100 bytes each.
	maxServices = 4096
	// minAnswers is how many answers in a row must rise by one throughout after one that did not, until
	// the identifiers of a service count as dense again. Short answers rise by one by chance.
	minAnswers = 16
)

// seen is what the uninterrupted answers of a service have shown.
type seen struct {
	answers int // in a row that rose by one throughout, since the last that did not
	uneven  bool
}

// Steps keeps for each service whether the identifiers of its streams rise by one. It is safe for
// concurrent use.
type Steps struct {
	mu       sync.Mutex
	services *lru.LRU[string, *seen]
}

// NewSteps returns Steps that knows no service.
func NewSteps() *Steps {
	services, err := lru.NewLRU[string, *seen](maxServices, nil)
	if err != nil {
		panic(err) // the size is a constant
	}
	return &Steps{services: services}
}

// record counts an answer with that many steps of one, and other ones.
func (s *Steps) record(service string, ones, others int) {
	if ones+others == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	of, ok := s.services.Get(service)
	if !ok {
		of = &seen{}
		s.services.Add(service, of)
	}
	if others > 0 {
		of.answers, of.uneven = 0, true
		return
	}
	if of.answers++; of.answers >= minAnswers {
		of.uneven = false
	}
}

// dense reports whether the identifiers of the service are known to rise by one.
func (s *Steps) dense(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	of, ok := s.services.Get(service)
	return ok && !of.uneven
}
