package record

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/version/snapshot"
)

// Bytes from another daemon or the store must decode into a complete record or snapshot, or fail.
// What was decoded must encode and decode again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":3,"actor":"ana","at":"2026-12-02T09:30:00Z","attempt":"x","change":{"set":{"workspaces":[{"name":"a"}]}}}`))
	f.Add([]byte(`{"version":9,"config":{"set":{"classes":[{"name":"a","whole":"1s","share":1}]}}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if r, err := Decode(body); err == nil {
			encoded, err := r.Encode()
			qt.Assert(t, err, qt.IsNil)
			_, err = Decode(encoded)
			qt.Assert(t, err, qt.IsNil)
			cfg, err := r.Apply(carawayspread.NewConfig(r.Version-1, nil, nil, nil))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, cfg.Version(), qt.Equals, r.Version)
		}
		if cfg, err := snapshot.Decode(body); err == nil {
			encoded, err := snapshot.Encode(cfg)
			qt.Assert(t, err, qt.IsNil)
			_, err = snapshot.Decode(encoded)
			qt.Assert(t, err, qt.IsNil)
		}
	})
}
