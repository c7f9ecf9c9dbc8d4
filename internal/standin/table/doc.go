// Package table is an in-memory stand-in for the platform's table service. It implements the subset
// of the DynamoDB JSON protocol that the system uses. Every table name is accepted, and all tables
// share the key schema "partition" and "sort", both strings.
package table
