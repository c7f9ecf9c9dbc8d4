// Package snapshot encodes a complete configuration for daemons that start or are far behind the
// configuration log.
package snapshot

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/version/change"
)

// Snapshot is the JSON form of one version.
type Snapshot struct {
	Version carawayspread.Version `json:"version"`
	Config  *change.Stored        `json:"config"` // the change that turns an empty configuration into the version
}

// Encode returns the JSON form of a configuration.
func Encode(cfg *carawayspread.Config) ([]byte, error) {
	stored := change.FromConfig(cfg).Stored()
	body, err := json.Marshal(Snapshot{Version: cfg.Version(), Config: &stored})
	return body, trace.Wrap(err)
}

// Decode reads a configuration from its JSON form.
func Decode(body []byte) (*carawayspread.Config, error) {
	var s Snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, trace.BadParameter("configuration snapshot: %v", err)
	}
	if s.Version == 0 || s.Config == nil {
		return nil, trace.BadParameter("configuration snapshot lacks its version or content")
	}
	full, err := s.Config.Change()
	if err != nil {
		return nil, err
	}
	return full.Replay(carawayspread.NewConfig(s.Version-1, nil, nil, nil)), nil
}
