package rows

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

const configTemplate = `{"version":%[1]d,"routes":[
 {"name":"lookup","host":"a.example","prefix":"/lookup/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":2},
 {"name":"order","host":"a.example","prefix":"/order/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":1},
 {"name":"stream","host":"a.example","prefix":"/stream/","kind":"stream","timeout_ms":%[6]d,"target_latency_ms":600,"service":"%[2]s","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":300},
 {"name":"once","host":"a.example","prefix":"/once/","kind":"stream","timeout_ms":%[6]d,"target_latency_ms":600,"service":"%[2]s","max_attempts":1,"sticky":true,"target_gap_ms":300}%[3]s],
 "services":[{"name":"plain"},{"name":"model","engine":{"slots":8,"kv_capacity":100000,"kv_token_bytes":1000,"link_mbps":100000,"handle_ttl_s":5%[5]s}}],
 "limits":{"max_body_bytes":%[7]d}%[4]s}`

// Publish writes a version of the configuration with one route of each kind. The routes of streams
// go to the service named by streams.
func (s *Store) Publish(version int, streams string) {
	s.Put("op", "config", fmt.Appendf(nil, configTemplate, version, streams, s.unusedRoutesJSON(), "", s.engineJSON(), s.streamTimeoutMs(), s.bodyLimitBytes()))
}

// SetUnusedRoutes sets how many additional routes, to which no request is sent, the next versions
// contain.
func (s *Store) SetUnusedRoutes(routes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unusedRoutes = routes
}

// SetBodyLimit sets the limit of a body in bytes, for the next versions.
func (s *Store) SetBodyLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodyLimit = n
}

func (s *Store) bodyLimitBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cmp.Or(s.bodyLimit, defaultBodyLimit)
}

// defaultBodyLimit is the limit of a body in bytes unless another one is set.
const defaultBodyLimit = 1000

// SetStreamTimeout sets the timeout of the routes of streams, for the next versions.
func (s *Store) SetStreamTimeout(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamTimeout = d
}

func (s *Store) streamTimeoutMs() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cmp.Or(s.streamTimeout, defaultStreamTimeout).Milliseconds()
}

// defaultStreamTimeout is the timeout of the routes of streams unless another one is set.
const defaultStreamTimeout = 4 * time.Second

// SetEngineFields sets additional fields of the engines of services, for the next versions: JSON that begins
// with a comma.
func (s *Store) SetEngineFields(fields string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engineFields = fields
}

func (s *Store) engineJSON() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engineFields
}

func (s *Store) unusedRoutesJSON() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for n := range s.unusedRoutes {
		fmt.Fprintf(&b, `,
 {"name":"idle-%06d","host":"idle%d.example","prefix":"/idle%d/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":2}`,
			n, n%100, n)
	}
	return b.String()
}

// PublishKeys writes a version in which callers need one of the API keys of the given workspaces.
// The map key is the name of the workspace.
func (s *Store) PublishKeys(version int, streams string, keys map[string][]string) error {
	type workspace struct {
		Name string   `json:"name"`
		Keys []string `json:"api_keys"`
	}
	workspaces := []workspace{}
	for name, apiKeys := range keys {
		workspaces = append(workspaces, workspace{name, apiKeys})
	}
	body, err := json.Marshal(workspaces)
	if err != nil {
		return err
	}
	s.Put("op", "config", fmt.Appendf(nil, configTemplate, version, streams, s.unusedRoutesJSON(), `,"tenants":`+string(body), s.engineJSON(), s.streamTimeoutMs(), s.bodyLimitBytes()))
	return nil
}

// Server is the row of a worker in the table of servers.
type Server struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`          // ready or draining
	Stage   string `json:"stage"`          // role of an engine: prefill or decode
	Seq     int    `json:"seq"`            // increases with each row written for a worker
	Version string `json:"version"`        // of the worker's software
	Born    int64  `json:"born,omitempty"` // when the worker started, in Unix milliseconds; zero if it does not say
}

// DefaultVersion is the version of the software of workers that state none.
const DefaultVersion = "v1"

// PutServer writes the row of the worker with that id.
func (s *Store) PutServer(id string, entry Server) error {
	if entry.Version == "" {
		entry.Version = DefaultVersion
	}
	row, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	s.Put("servers", id, row)
	return nil
}
