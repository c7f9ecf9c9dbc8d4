// Package call reads one caller's request: what it asks for, under which class
// and workspace, and until when. A call lives as long as its request.
package call

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawayspread"
	"carawayspread/internal/connection/openai"
)

// Headers that callers send.
const (
	headerWorkspace = "X-Workspace"
	headerClass     = "X-Class"
	headerKey       = "Idempotency-Key"
	headerRequestID = "X-Request-Id"
	headerDeadline  = "X-Deadline" // RFC 3339
)

const (
	servicesPrefix = "/services/"
	longestHeader  = 128 // bytes of an identifier in a header
)

// Call is one caller's request. It is immutable.
type Call struct {
	id       string // unique; chosen by the system
	callerID string // what the caller named it, or the id
	method   string
	path     string // at the endpoint, with its query
	key      string // the idempotency key; empty for none
	header   http.Header
	body     []byte
	bodyHash uint64
	service  carawayspread.Service
	stream   bool // the answer is a stream of events
	once     bool // must not run twice
	job      *carawayspread.Job
}

// Limits bounds what is read of a request.
type Limits struct {
	Body int64 // bytes
}

// Read reads the request against the configuration that is current. Its error
// is a *carawayspread.Error that is not run.
func Read(w http.ResponseWriter, r *http.Request, cfg *carawayspread.Config, limits Limits, id string, now time.Time) (*Call, error) {
	c := &Call{id: id, method: r.Method, header: r.Header, key: r.Header.Get(headerKey)}
	c.callerID = r.Header.Get(headerRequestID)
	if c.callerID == "" {
		c.callerID = id
	}
	if err := checkIdentifiers(r.Header); err != nil {
		return nil, err
	}
	class, err := c.classify(r, cfg)
	if err != nil {
		return nil, err
	}
	deadline, err := readDeadline(r.Header, now)
	if err != nil {
		return nil, err
	}
	if c.body, err = readBody(w, r, limits.Body); err != nil {
		return nil, err
	}
	c.job = &carawayspread.Job{
		ID:        id,
		Workspace: r.Header.Get(headerWorkspace),
		Class:     class,
		Arrived:   now,
		Deadline:  deadline,
	}
	if err := c.target(r, cfg); err != nil {
		return nil, err
	}
	c.finish(class)
	return c, nil
}

func checkIdentifiers(header http.Header) error {
	for _, name := range []string{headerWorkspace, headerClass, headerKey, headerRequestID} {
		value := header.Get(name)
		if len(value) > longestHeader {
			return refuse(carawayspread.CodeMalformed, name+": is longer than 128 bytes")
		}
		if strings.ContainsFunc(value, func(c rune) bool { return c < ' ' || c > '~' }) {
			return refuse(carawayspread.CodeMalformed, name+": holds a character that is not printable ASCII")
		}
	}
	return nil
}

func (c *Call) classify(r *http.Request, cfg *carawayspread.Config) (carawayspread.Class, error) {
	workspace := r.Header.Get(headerWorkspace)
	if workspace == "" {
		return carawayspread.Class{}, refuse(carawayspread.CodeMalformed, headerWorkspace+": must name a workspace")
	}
	if _, ok := cfg.Workspace(workspace); !ok {
		return carawayspread.Class{}, refuse(carawayspread.CodeUnknownWorkspace, headerWorkspace+": there is no workspace "+workspace)
	}
	name := r.Header.Get(headerClass)
	if name == "" {
		return carawayspread.Class{}, refuse(carawayspread.CodeMalformed, headerClass+": must name a class")
	}
	class, ok := cfg.Class(name)
	if !ok {
		return carawayspread.Class{}, refuse(carawayspread.CodeUnknownClass, headerClass+": there is no class "+name)
	}
	return class, nil
}

func readDeadline(header http.Header, now time.Time) (time.Time, error) {
	text := header.Get(headerDeadline)
	if text == "" {
		return time.Time{}, nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, refuse(carawayspread.CodeMalformed, headerDeadline+": must be a time as in RFC 3339")
	}
	if !deadline.After(now) {
		return time.Time{}, refuse(carawayspread.CodeDeadlineExceeded, headerDeadline+": has passed")
	}
	return deadline, nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(carawayspread.CodeTooLarge, "the body is too large")
	}
	if err != nil {
		return nil, carawayspread.NewError(carawayspread.CodeMalformed, "the body ended early", carawayspread.NotRun(), carawayspread.CausedBy(err))
	}
	return body, nil
}

// target finds the service that the request is for.
func (c *Call) target(r *http.Request, cfg *carawayspread.Config) error {
	if rest, ok := strings.CutPrefix(r.URL.EscapedPath(), servicesPrefix); ok {
		return c.targetPlain(rest, r.URL.RawQuery, cfg)
	}
	completion, err := openai.Decode(c.body)
	if err != nil {
		return err
	}
	service, ok := cfg.ServiceOfModel(completion.Model())
	if !ok {
		return refuse(carawayspread.CodeUnknownModel, "model: no service offers "+completion.Model())
	}
	c.service = service
	c.path = r.URL.RequestURI()
	c.stream = completion.Stream()
	c.job.Model = completion.Model()
	c.job.Cost = completion.Cost()
	c.job.Prefix = completion.Prefix()
	return nil
}

func (c *Call) targetPlain(rest, query string, cfg *carawayspread.Config) error {
	name, path, _ := strings.Cut(rest, "/")
	service, ok := cfg.Service(name)
	if !ok || service.Kind() != carawayspread.KindPlain {
		return refuse(carawayspread.CodeUnknownService, "there is no plain service "+name)
	}
	c.service = service
	c.path = "/" + path
	if query != "" {
		c.path += "?" + query
	}
	c.job.Cost = carawayspread.Cost{Prefill: 1}
	c.job.Prefix = xxhash.Sum64String(c.path)
	return nil
}

func (c *Call) finish(class carawayspread.Class) {
	c.job.Service = c.service.Name()
	c.bodyHash = xxhash.Sum64(c.body)
	c.job.Fingerprint = c.fingerprint()
	c.once = class.AtMostOnce() || (c.service.Kind() == carawayspread.KindPlain && unsafe(c.method) && !c.service.Repeatable())
}

// unsafe reports whether HTTP does not define the method as idempotent.
func unsafe(method string) bool {
	return method == http.MethodPost || method == http.MethodPatch
}

func (c *Call) fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{c.job.Workspace, c.method, c.path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(c.body)
	return digest.Sum64()
}

func refuse(code carawayspread.Code, message string) error {
	return carawayspread.NewError(code, message, carawayspread.NotRun())
}

// ID returns the identifier that the system gave the request.
func (c *Call) ID() string { return c.id }

// CallerID returns the identifier that the caller gave the request.
func (c *Call) CallerID() string { return c.callerID }

// Method returns the HTTP method.
func (c *Call) Method() string { return c.method }

// Path returns the path at the endpoint, with its query.
func (c *Call) Path() string { return c.path }

// Key returns the idempotency key; empty for none.
func (c *Call) Key() string { return c.key }

// Body returns the body; not to be modified.
func (c *Call) Body() []byte { return c.body }

// BodyHash returns the hash of the body.
func (c *Call) BodyHash() uint64 { return c.bodyHash }

// Service returns the service that the request is for.
func (c *Call) Service() carawayspread.Service { return c.service }

// Stream reports whether the answer is a stream of events.
func (c *Call) Stream() bool { return c.stream }

// AtMostOnce reports whether the request must not run twice.
func (c *Call) AtMostOnce() bool { return c.once }

// Job returns what the decision modules know of the request.
func (c *Call) Job() *carawayspread.Job { return c.job }
