// Package metered counts and times the requests to the table service by
// operation and outcome.
//
//	carawayspread_table_requests_total{operation,outcome}  requests
//	carawayspread_table_request_seconds{operation}         seconds of one request
//	carawayspread_table_items_total{operation}             items read or written
//
// Operations are get, query and apply. Outcomes are ok, noItem, condition,
// unavailable and unknown.
package metered
