// Package carawayspread holds the core types and the small interfaces of the
// serving system: what a request is, what operators may state about it, what
// the platform offers, and what the decision modules must answer.
//
// Implementations live below internal/, arranged by life span: request,
// connection, version and process.
package carawayspread
