// Package dynamodb speaks to the platform's table service over the DynamoDB
// protocol.
//
// The client sends each request once. A repeated write whose first answer was
// lost would meet its own effect and report a failed condition although it
// succeeded; repeating is left to decorators that know the attempt's token.
package dynamodb
