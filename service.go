package carawayspread

// Kind tells model engines from plain services.
type Kind string

// Kinds of services.
const (
	KindModel Kind = "model" // endpoints speak the OpenAI protocol and take orders
	KindPlain Kind = "plain" // endpoints speak HTTP
)

// Service is a named set of endpoints that answer the same requests.
type Service struct {
	name       string // unique in a configuration, not empty
	kind       Kind
	models     []string // what a model service offers; empty for plain services
	repeatable bool     // POST and PATCH of a plain service may run twice
}

// NewService returns a service.
func NewService(name string, kind Kind, models []string, repeatable bool) Service {
	return Service{name: name, kind: kind, models: models, repeatable: repeatable}
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Kind returns the kind of its endpoints.
func (s Service) Kind() Kind { return s.kind }

// Models returns the models that the service offers; not to be modified.
func (s Service) Models() []string { return s.models }

// Repeatable reports whether unsafe methods of a plain service may run twice.
func (s Service) Repeatable() bool { return s.repeatable }
