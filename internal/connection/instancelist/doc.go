// Package instancelist reads the platform's list of instances over HTTP. If the list is unchanged, the
// answer has no body.
package instancelist
