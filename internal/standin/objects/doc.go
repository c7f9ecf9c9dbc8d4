// Package objects is an in-memory stand-in for the platform's object store: GET and PUT of complete
// objects in the S3 protocol, addressed in path style.
package objects
