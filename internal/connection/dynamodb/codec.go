package dynamodb

import (
	"fmt"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"carawayspread"
)

// Attributes of the items in the physical table.
const (
	attributePartition = "partition"
	attributeSort      = "sort"
	attributeRev       = "rev"
	attributeToken     = "token"
	attributeBody      = "body"
)

func stringValue(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberValue(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func encodeKey(key carawayspread.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributePartition: stringValue(key.Partition),
		attributeSort:      stringValue(key.Sort),
	}
}

func encodeItem(w carawayspread.Write) map[string]types.AttributeValue {
	attributes := encodeKey(w.Item.Key)
	attributes[attributeRev] = numberValue(w.IfRev + 1)
	attributes[attributeToken] = stringValue(w.Item.Token)
	attributes[attributeBody] = &types.AttributeValueMemberB{Value: bodyOf(w.Item)}
	return attributes
}

// bodyOf returns the body, never nil: the SDK encodes a nil slice as a value without a type.
func bodyOf(item carawayspread.Item) []byte {
	if item.Body == nil {
		return []byte{}
	}
	return item.Body
}

func decodeItems(rows []map[string]types.AttributeValue) ([]carawayspread.Item, error) {
	items := make([]carawayspread.Item, 0, len(rows))
	for _, row := range rows {
		item, err := decodeItem(row)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}

func decodeItem(row map[string]types.AttributeValue) (carawayspread.Item, error) {
	partition, okP := row[attributePartition].(*types.AttributeValueMemberS)
	sort, okS := row[attributeSort].(*types.AttributeValueMemberS)
	rev, okR := row[attributeRev].(*types.AttributeValueMemberN)
	token, okT := row[attributeToken].(*types.AttributeValueMemberS)
	body, okB := row[attributeBody].(*types.AttributeValueMemberB)
	if !okP || !okS || !okR || !okT || !okB {
		return carawayspread.Item{}, fmt.Errorf("table item lacks an attribute or has it in another type")
	}
	n, err := strconv.ParseUint(rev.Value, 10, 64)
	if err != nil || n == 0 {
		return carawayspread.Item{}, fmt.Errorf("table item has revision %q", rev.Value)
	}
	return carawayspread.Item{
		Key:   carawayspread.Key{Partition: partition.Value, Sort: sort.Value},
		Rev:   n,
		Token: token.Value,
		Body:  body.Value,
	}, nil
}
