package record

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/version/snapshot"
)

// What another daemon or the store sends makes a whole record or snapshot, or
// an error, and survives another turn through the codec.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":3,"actor":"ana","at":"2026-12-02T09:30:00Z","attempt":"x","change":{"set":{"workspaces":[{"name":"a"}]}}}`))
	f.Add([]byte(`{"version":9,"config":{"set":{"classes":[{"name":"a","whole":"1s","share":1}]}}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if r, err := Decode(body); err == nil {
			again, err := r.Encode()
			qt.Assert(t, err, qt.IsNil)
			_, err = Decode(again)
			qt.Assert(t, err, qt.IsNil)
			cfg, err := r.Apply(carawayspread.NewConfig(r.Version-1, nil, nil, nil))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, cfg.Version(), qt.Equals, r.Version)
		}
		if cfg, err := snapshot.Decode(body); err == nil {
			again, err := snapshot.Encode(cfg)
			qt.Assert(t, err, qt.IsNil)
			_, err = snapshot.Decode(again)
			qt.Assert(t, err, qt.IsNil)
		}
	})
}
