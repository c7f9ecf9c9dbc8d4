// Package metered counts and times the requests to the table service by operation and outcome.
//
//	carawayspread_table_requests_total{layer,operation,outcome}  requests
//	carawayspread_table_request_seconds{layer,operation}         duration of a request in seconds
//	carawayspread_table_items_total{layer,operation}             items read or written
//
// The layer is the position of the decorator; see package tableclient. Operations are get, query and
// apply. Outcomes are ok, noItem, condition, unavailable and unknown.
package metered
