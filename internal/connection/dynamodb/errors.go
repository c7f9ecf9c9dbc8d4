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

// rejections are the answers by which the service says that it did not carry
// out the request. Any other answer, such as InternalServerError, leaves the
// outcome of a write unknown.
var rejections = map[string]bool{
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

// classify turns an error of the client into one of the errors of a Table.
// What it cannot prove to have had no effect stays unknown.
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
	if errors.As(err, &api) && rejections[api.ErrorCode()] {
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

// refuse finds reasons for which nothing is sent. A body beyond the limit would
// have the service refuse all other writes of the transaction with it.
func refuse(ctx context.Context, writes []carawayspread.Write) error {
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
