package carawayspread

// ConfigurationFormat is how operators write a configuration of routes: the names of its fields and the decoders of
// what they hold. An error of a decoder that matches json.UnmarshalTypeError names the field of the entry.
type ConfigurationFormat struct {
	VersionField, RoutesField, ServicesField, WorkspacesField, LimitsField string

	Route     func(entry []byte) (*Route, error)
	Service   func(entry []byte) (RoutedService, error)
	Workspace func(entry []byte) (KeyHolder, error)
	Limits    func(value []byte) (CallerLimits, error)
}
