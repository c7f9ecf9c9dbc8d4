// Package carawayspread defines the core types and interfaces of the serving system: requests, the
// configuration that operators set for them, the services of the platform, and the decision
// modules.
//
// Implementations are below internal/: the decision modules, and code grouped by lifetime, that of
// a request, a connection, a version or a process. docs/ARCHITECTURE.md says which of them may
// import which.
package carawayspread
