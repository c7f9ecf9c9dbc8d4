// Package table is a stand-in for the platform's table service: the subset of
// the DynamoDB JSON protocol that the system uses, in memory. Every table name
// is accepted and all share the key schema "partition" and "sort", both strings.
package table
