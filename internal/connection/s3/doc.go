// Package s3 is a client of the platform's object store over the S3 protocol. Objects are written
// as a whole, so writes are idempotent and the SDK retries them.
package s3
