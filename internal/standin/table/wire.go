package table

import (
	"encoding/json"
	"net/http"
)

const (
	partitionAttribute = "partition"
	sortAttribute      = "sort"
)

// value is an attribute value of the protocol. Exactly one member is set.
type value struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *string `json:"B,omitempty"` // base64
}

type attributes map[string]value

// request is the union of the request members of all supported operations.
type request struct {
	TableName                 string
	Key                       attributes
	Item                      attributes
	ConditionExpression       string
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attributes
	Limit                     int
	TransactItems             []transactItem
}

type transactItem struct {
	Put            *request
	Delete         *request
	ConditionCheck *request
}

type getResponse struct {
	Item attributes `json:",omitempty"`
}

type queryResponse struct {
	Items            []attributes
	Count            int
	ScannedCount     int
	LastEvaluatedKey attributes `json:",omitempty"`
}

type reason struct {
	Code    string
	Message string `json:",omitempty"`
}

// failure is an error response of the protocol.
type failure struct {
	Type                string   `json:"__type"`
	Message             string   `json:"message"`
	CancellationReasons []reason `json:",omitempty"`
}

const errorPrefix = "com.amazonaws.dynamodb.v20120810#"

func failed(name, message string) *failure {
	return &failure{Type: errorPrefix + name, Message: message}
}

func invalid(message string) *failure { return failed("ValidationException", message) }

func writeResponse(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
