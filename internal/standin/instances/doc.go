// Package instances is a stand-in for the platform's instance list: HTTP with
// JSON rows, an ETag as revision, and a lag after which changes show.
package instances
