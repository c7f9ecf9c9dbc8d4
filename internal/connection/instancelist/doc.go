// Package instancelist reads the platform's list of instances over HTTP. An
// unchanged list costs an answer without a body.
package instancelist
