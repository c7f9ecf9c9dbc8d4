package dynamodb

import (
	"context"
	"errors"
	"fmt"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"

	"carawayspread"
)

const maxBodyBytes = 64 << 10

var (
	errKey  = errors.New("a write needs a partition and a sort key")
	errBody = errors.New("the body of an item exceeds 64 KiB")
)

const reasonConditionFailed = "ConditionalCheckFailed"

// rejectionCodes are the error codes by which the service states that it did not perform the
// request. Any other error, such as InternalServerError, leaves the outcome of a write unknown.
var rejectionCodes = map[string]bool{
	"AccessDeniedException":                  true,
	"IncompleteSignatureException":           true,
	"InvalidSignatureException":              true,
	"MissingAuthenticationTokenException":    true,
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ResourceNotFoundException":              true,
	"SerializationException":                 true,
	"ThrottlingException":                    true,
	"TransactionCanceledException":           true,
	"TransactionConflictException":           true,
	"UnknownOperationException":              true,
	"UnrecognizedClientException":            true,
	"ValidationException":                    true,
}

// classify maps an error of the client to one of the errors of a Table. The outcome is unknown
// unless the error proves that the request had no effect.
func classify(err error) error {
	if err == nil {
		return nil
	}
	var condition *types.ConditionalCheckFailedException
	if errors.As(err, &condition) {
		return &carawayspread.ConditionError{Failed: []int{0}}
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return classifyCancelled(cancelled)
	}
	if errors.Is(err, errNotSent) {
		return unavailable(err)
	}
	var api smithy.APIError
	if errors.As(err, &api) && rejectionCodes[api.ErrorCode()] {
		return unavailable(err)
	}
	return fmt.Errorf("table service: outcome unknown: %w", err)
}

func classifyCancelled(cancelled *types.TransactionCanceledException) error {
	var failed []int
	for i, reason := range cancelled.CancellationReasons {
		if reason.Code != nil && *reason.Code == reasonConditionFailed {
			failed = append(failed, i)
		}
	}
	if len(failed) == 0 {
		return unavailable(cancelled)
	}
	return &carawayspread.ConditionError{Failed: failed}
}

func unavailable(cause error) error {
	return fmt.Errorf("%w: %w", carawayspread.ErrUnavailable, cause)
}

// validate returns an error if nothing may be sent. A body over the limit would make the service
// reject all other writes of the transaction as well.
func validate(ctx context.Context, writes []carawayspread.Write) error {
	for _, w := range writes {
		if w.Item.Key.Partition == "" || w.Item.Key.Sort == "" {
			return errKey
		}
		if len(w.Item.Body) > maxBodyBytes {
			return errBody
		}
	}
	return ctx.Err()
}
