package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
)

const (
	maxListBytes    = 16 << 20 // 1,660 rows, at the target size, take less than 1 MB
	idleConnTimeout = 90 * time.Second
)

// List reads the platform's instance list. It is safe for concurrent use.
type List struct {
	client *http.Client
	url    string
}

// listResponse is the JSON body of the list.
type listResponse struct {
	Instances []carawayspread.Instance `json:"instances"`
}

// New returns the instance list at a base URL such as http://127.0.0.1:7000.
func New(baseURL string) *List {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout}
	return &List{client: &http.Client{Transport: transport}, url: baseURL + "/instances"}
}

// Close closes idle connections.
func (l *List) Close() { l.client.CloseIdleConnections() }

// List returns all instances and the revision of the list, or nil and the same revision if the list
// still has the given one, which is empty if the caller has no list.
func (l *List) List(ctx context.Context, revision string) ([]carawayspread.Instance, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	if revision != "" {
		r.Header.Set("If-None-Match", revision)
	}
	resp, err := l.client.Do(r)
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return nil, revision, nil
	case http.StatusOK:
		instances, err := decode(resp.Body)
		return instances, resp.Header.Get("ETag"), err
	}
	return nil, "", fmt.Errorf("instance list: status %d", resp.StatusCode)
}

// decode reads a list. It rejects the whole list if a row is invalid: without that row it would look
// as if the instance were gone.
func decode(body io.Reader) ([]carawayspread.Instance, error) {
	var response listResponse
	if err := json.NewDecoder(io.LimitReader(body, maxListBytes)).Decode(&response); err != nil {
		return nil, trace.Wrap(err)
	}
	if response.Instances == nil {
		return nil, fmt.Errorf("instance list: field instances is missing")
	}
	seen := map[string]bool{}
	for i, instance := range response.Instances {
		if err := validate(instance, seen); err != nil {
			return nil, fmt.Errorf("instance list: row %d: %w", i, err)
		}
		seen[instance.ID] = true
	}
	return response.Instances, nil
}

func validate(instance carawayspread.Instance, seen map[string]bool) error {
	if instance.ID == "" || seen[instance.ID] {
		return fmt.Errorf("id %q is empty or listed twice", instance.ID)
	}
	for _, address := range []string{instance.Address, instance.Control} {
		if address == "" {
			continue // not yet known to the platform
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return err
		}
	}
	return nil
}
