package carawayspread

// Kind distinguishes services of model engines from plain services.
type Kind string

// Kinds of services.
const (
	KindModel Kind = "model" // endpoints implement the OpenAI API and execute orders
	KindPlain Kind = "plain" // endpoints implement any HTTP API
)

// Service is a named set of endpoints that serve the same requests.
type Service struct {
	name       string // unique in a configuration, not empty
	kind       Kind
	models     []string // that a model service offers; empty for plain services
	repeatable bool     // POST and PATCH of a plain service may run more than once
}

// NewService returns a service.
func NewService(name string, kind Kind, models []string, repeatable bool) Service {
	return Service{name: name, kind: kind, models: models, repeatable: repeatable}
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Kind returns the kind of its endpoints.
func (s Service) Kind() Kind { return s.kind }

// Models returns the models that the service offers. The slice must not be modified.
func (s Service) Models() []string { return s.models }

// Repeatable reports whether POST and PATCH requests of a plain service may run more than once.
func (s Service) Repeatable() bool { return s.repeatable }
