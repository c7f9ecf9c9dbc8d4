// Package s3 speaks to the platform's object store over the S3 protocol.
// Objects are whole and their writes idempotent, so the SDK repeats them.
package s3
