// Package dynamodb is a client of the platform's table service over the DynamoDB protocol.
//
// The client sends each request once. A retried write whose first answer was lost would see its own
// effect and report a failed condition although it succeeded. Retries are therefore left to
// decorators that know the token of the attempt.
package dynamodb
