// Package objects is a stand-in for the platform's object store: GET and PUT
// of whole objects by path-style names of the S3 protocol, in memory.
package objects
