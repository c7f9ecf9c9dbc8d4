// Package record holds one accepted change in the form that the configuration log and the daemons
// store.
package record

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/version/change"
)

// Record is one accepted change. Its fields must not be modified.
type Record struct {
	Version carawayspread.Version `json:"version"` // the version that the change made
	Actor   string                `json:"actor"`   // operator who requested it
	At      time.Time             `json:"at"`      // by the clock of the daemon that accepted it
	Attempt string                `json:"attempt"` // the token of the attempt that wrote it
	Change  *change.Change        `json:"change"`
}

// Decode reads a record from its JSON form.
func Decode(body []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(body, &r); err != nil {
		return Record{}, trace.BadParameter("configuration record: %v", err)
	}
	if r.Version == 0 || r.Change == nil {
		return Record{}, trace.BadParameter("configuration record lacks its version or change")
	}
	return r, nil
}

// Encode returns the JSON form of the record.
func (r Record) Encode() ([]byte, error) {
	body, err := json.Marshal(r)
	return body, trace.Wrap(err)
}

// Apply returns the configuration that follows cfg. A record of any version but the next one is
// refused: applied across a gap or twice, it would produce a configuration that was never accepted.
func (r Record) Apply(cfg *carawayspread.Config) (*carawayspread.Config, error) {
	if r.Version != cfg.Version()+1 {
		return nil, trace.CompareFailed("record %d does not follow version %d", r.Version, cfg.Version())
	}
	return r.Change.Replay(cfg), nil
}
