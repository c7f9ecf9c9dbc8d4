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
	maxListBytes    = 16 << 20 // 1,660 rows of the target size take under 1 MB
	idleConnTimeout = 90 * time.Second
)

// List reads the platform's instance list. It is safe for concurrent use.
type List struct {
	client *http.Client
	url    string
}

// listing is the JSON form of the list.
type listing struct {
	Instances []carawayspread.Instance `json:"instances"`
}

// New returns the instance list at a base URL such as http://127.0.0.1:7000.
func New(baseURL string) *List {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout}
	return &List{client: &http.Client{Transport: transport}, url: baseURL + "/instances"}
}

// Close closes idle connections.
func (l *List) Close() { l.client.CloseIdleConnections() }

// List returns all instances and the revision of the list, or nil and the
// same revision when the list is still at the one that the caller has.
func (l *List) List(ctx context.Context, have string) ([]carawayspread.Instance, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	if have != "" {
		r.Header.Set("If-None-Match", have)
	}
	resp, err := l.client.Do(r)
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return nil, have, nil
	case http.StatusOK:
		instances, err := decode(resp.Body)
		return instances, resp.Header.Get("ETag"), err
	}
	return nil, "", fmt.Errorf("instance list: status %d", resp.StatusCode)
}

// decode reads a list. It refuses the list as a whole when a row is unusable:
// a list that lacks a row would look as if the instance had gone.
func decode(body io.Reader) ([]carawayspread.Instance, error) {
	var list listing
	if err := json.NewDecoder(io.LimitReader(body, maxListBytes)).Decode(&list); err != nil {
		return nil, trace.Wrap(err)
	}
	if list.Instances == nil {
		return nil, fmt.Errorf("instance list: no member named instances")
	}
	seen := map[string]bool{}
	for i, instance := range list.Instances {
		if err := validate(instance, seen); err != nil {
			return nil, fmt.Errorf("instance list: row %d: %w", i, err)
		}
		seen[instance.ID] = true
	}
	return list.Instances, nil
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
