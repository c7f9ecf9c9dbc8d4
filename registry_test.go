package carawayspread

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRegistryGet(t *testing.T) {
	r := NewRegistry[int]("one")
	r.Register("one", 1)
	r.Register("two", 2)

	tests := map[string]struct {
		want  int
		known bool
	}{
		"one":   {want: 1, known: true},
		"two":   {want: 2, known: true},
		"three": {want: 1, known: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, known := r.Get(name)
			qt.Check(t, got, qt.Equals, test.want)
			qt.Check(t, known, qt.Equals, test.known)
		})
	}
}

func TestRegistryRefusesSecondName(t *testing.T) {
	r := NewRegistry[int]("one")
	r.Register("one", 1)
	qt.Check(t, func() { r.Register("one", 2) }, qt.PanicMatches, `.*"one" registered twice`)
}
