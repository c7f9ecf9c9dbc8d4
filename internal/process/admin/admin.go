// Package admin serves the administration API, with which operators set and change the targets of
// classes, the workspaces and the services, read the history and the audit trail, and drain instances
// and endpoints.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"carawayspread"
	"carawayspread/internal/connection/adminapi"
	"carawayspread/internal/process/fleet"
	"carawayspread/internal/version/auditrecord"
	"carawayspread/internal/version/changelog"
	"carawayspread/internal/version/record"
)

const (
	maxBodyBytes = 1 << 20
	maxWait      = time.Minute
	// rolloutPollInterval is the time between two queries of all instances while an operator waits
	// until a change is in force.
	rolloutPollInterval = time.Second
)

// ConfigLog is the log of configuration changes, with its audit trail.
type ConfigLog interface {
	Append(ctx context.Context, p changelog.Proposal) (record.Record, *carawayspread.Config, error)
	History(ctx context.Context, after carawayspread.Version) ([]record.Record, error)
	Audit(ctx context.Context, day time.Time, after string) ([]auditrecord.AuditRecord, string, error)
	WriteAudit(ctx context.Context, line auditrecord.AuditRecord) error
}

// Holder holds the configuration of this process.
type Holder interface {
	Current(ctx context.Context) *carawayspread.Config
	Staleness() (time.Duration, bool)
	ObserveVersion(version carawayspread.Version)
	Adopt(cfg *carawayspread.Config, r record.Record)
}

// Admin is the administration API as an http.Handler. It is safe for
// concurrent use.
type Admin struct {
	configLog ConfigLog
	holder    Holder
	fleet     *fleet.Fleet
	clock     carawayspread.Clock
	logger    log.Interface
	mux       *http.ServeMux
}

// Option sets an option of an Admin.
type Option func(*Admin)

// WithLogger sets the logger; log.Log by default.
func WithLogger(logger log.Interface) Option { return func(a *Admin) { a.logger = logger } }

// New returns the administration API.
func New(configLog ConfigLog, holder Holder, instances *fleet.Fleet, clock carawayspread.Clock, opts ...Option) *Admin {
	a := &Admin{configLog: configLog, holder: holder, fleet: instances, clock: clock, logger: log.Log, mux: http.NewServeMux()}
	for _, opt := range opts {
		opt(a)
	}
	a.routes()
	return a
}

// ServeHTTP serves the API.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	a.mux.ServeHTTP(w, r)
}

func (a *Admin) routes() {
	a.resource("/class", classes{})
	a.resource("/workspace", workspaces{})
	a.resource("/service", services{})
	a.path("/changes", methods{http.MethodPost: a.changeGroup})
	a.path("/config", methods{http.MethodGet: a.showConfig})
	a.path("/config/check", methods{http.MethodPost: a.checkConfig})
	a.path("/config/history", methods{http.MethodGet: a.history})
	a.path("/audit", methods{http.MethodGet: a.audit})
	a.path("/status", methods{http.MethodGet: a.status})
	a.path("/drain", methods{http.MethodPost: a.drain})
	a.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, carawayspread.NewError(carawayspread.CodeNotFound, "there is no such path", carawayspread.NotRun()))
	})
}

// handler handles one request and returns the body of the answer; an error is sent as a Fault.
type handler func(r *http.Request) (any, error)

type methods map[string]handler

// path registers the handlers of one path; other methods are refused.
func (a *Admin) path(path string, served methods) {
	a.mux.HandleFunc(adminapi.Prefix+path, func(w http.ResponseWriter, r *http.Request) {
		serve, ok := served[r.Method]
		if !ok {
			refuseMethod(w, served)
			return
		}
		body, err := serve(r)
		if err != nil {
			a.logger.WithFields(log.Fields{"method": r.Method, "path": r.URL.Path}).WithError(err).Warn("admin.refused")
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, body)
	})
}

// resource registers list, show, set and delete for one kind of resource.
func (a *Admin) resource(path string, kind resourceKind) {
	a.path(path, methods{http.MethodGet: func(r *http.Request) (any, error) {
		return kind.list(a.holder.Current(r.Context())), nil
	}})
	a.path(path+"/{name}", methods{
		http.MethodGet: func(r *http.Request) (any, error) {
			return kind.show(a.holder.Current(r.Context()), r.PathValue("name"))
		},
		http.MethodPut:    func(r *http.Request) (any, error) { return a.set(r, kind) },
		http.MethodDelete: func(r *http.Request) (any, error) { return a.delete(r, kind) },
	})
}
