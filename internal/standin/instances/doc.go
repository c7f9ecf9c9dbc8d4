// Package instances is a stand-in for the platform's instance list: JSON rows over HTTP, with the
// revision as ETag and a lag until changes become visible.
package instances
