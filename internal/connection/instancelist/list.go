package instancelist

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/connection/framed"
)

const (
	maxListBytes    = 16 << 20 // 1,660 rows, at the target size, take less than 1 MB
	idleConnTimeout = 90 * time.Second
)

// List reads the platform's instance list. It is safe for concurrent use.
type List struct {
	client *http.Client
	url    string
	log    log.Interface

	mu sync.Mutex
	// held are the rows as last returned, by identifier.
	held map[string]carawayspread.Instance
	// reported are the rows that the log names as unusable; each is named once.
	reported map[string]bool
}

// listResponse is the JSON body of the list.
type listResponse struct {
	Instances []json.RawMessage `json:"instances"`
}

// Option sets an optional part of a List.
type Option func(*List)

// WithLog sets the logger for rows that cannot be used.
func WithLog(l log.Interface) Option { return func(list *List) { list.log = l } }

// New returns the instance list at a base URL such as http://127.0.0.1:7000.
func New(baseURL string, opts ...Option) *List {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout}
	l := &List{client: &http.Client{Transport: framed.New(transport, framed.AllowUnmarked())}, url: baseURL + "/instances", log: log.Log}
	for _, opt := range opts {
		opt(l)
	}
	return l
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
		instances, err := l.update(resp.Body)
		return instances, resp.Header.Get("ETag"), err
	}
	return nil, "", fmt.Errorf("instance list: status %d", resp.StatusCode)
}

// update decodes a list, holds it, and logs which rows have become unusable.
func (l *List) update(body io.Reader) ([]carawayspread.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	instances, unusable, err := decode(body, l.held)
	if err != nil {
		return nil, err
	}
	reported := make(map[string]bool, len(unusable))
	for row, err := range unusable {
		if reported[row] = true; !l.reported[row] {
			l.log.WithField("row", row).WithField("error", fmt.Sprintf("%.200s", err)).Error("instance list: a row cannot be used")
		}
	}
	l.reported = reported
	l.held = make(map[string]carawayspread.Instance, len(instances))
	for _, instance := range instances {
		l.held[instance.ID] = instance
	}
	return instances, nil
}

// decode reads a list, and says of each row that cannot be used why, by its identifier or place. Such a row stays as
// it is held: its instance would look gone. Of two rows with one identifier the first counts.
func decode(body io.Reader, held map[string]carawayspread.Instance) (instances []carawayspread.Instance, unusable map[string]error, err error) {
	var response listResponse
	if err := json.NewDecoder(io.LimitReader(body, maxListBytes)).Decode(&response); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if response.Instances == nil {
		return nil, nil, fmt.Errorf("instance list: field instances is missing")
	}
	instances, unusable = []carawayspread.Instance{}, map[string]error{}
	seen := map[string]bool{}
	for i, row := range response.Instances {
		var instance carawayspread.Instance
		err := json.Unmarshal(row, &instance)
		if err == nil {
			err = instance.Validate()
		}
		name := cmp.Or(instance.ID, fmt.Sprint(i))
		switch {
		case err != nil:
			unusable[name] = err
		case seen[instance.ID]:
			unusable[name] = errTwice
		default:
			seen[instance.ID] = true
			instances = append(instances, instance)
		}
	}
	for id := range unusable {
		if instance, ok := held[id]; ok && !seen[id] {
			instances = append(instances, instance)
		}
	}
	return instances, unusable, nil
}

var errTwice = errors.New("the identifier is listed twice")
