package dynamodb

import (
	"context"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"carawayspread"
)

// condition is the condition of one write as encoded in the protocol.
type condition struct {
	expression *string
	names      map[string]string
	values     map[string]types.AttributeValue
}

func conditionOf(w carawayspread.Write) condition {
	if w.IfRev == 0 {
		return condition{
			expression: aws.String("attribute_not_exists(#r)"),
			names:      map[string]string{"#r": attributeRev},
		}
	}
	return condition{
		expression: aws.String("#r = :r"),
		names:      map[string]string{"#r": attributeRev},
		values:     map[string]types.AttributeValue{":r": numberValue(w.IfRev)},
	}
}

func (t *Table) applyOne(ctx context.Context, w carawayspread.Write) error {
	c := conditionOf(w)
	if w.Delete {
		_, err := t.client.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName:                 &t.name,
			Key:                       encodeKey(w.Item.Key),
			ConditionExpression:       c.expression,
			ExpressionAttributeNames:  c.names,
			ExpressionAttributeValues: c.values,
		})
		return err
	}
	_, err := t.client.PutItem(ctx, &dynamodb.PutItemInput{
		TableName:                 &t.name,
		Item:                      encodeItem(w),
		ConditionExpression:       c.expression,
		ExpressionAttributeNames:  c.names,
		ExpressionAttributeValues: c.values,
	})
	return err
}

func (t *Table) transact(ctx context.Context, writes []carawayspread.Write) error {
	items := make([]types.TransactWriteItem, len(writes))
	for i, w := range writes {
		items[i] = t.transactItem(w)
	}
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	return err
}

func (t *Table) transactItem(w carawayspread.Write) types.TransactWriteItem {
	c := conditionOf(w)
	switch {
	case w.CheckOnly:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName:                 &t.name,
			Key:                       encodeKey(w.Item.Key),
			ConditionExpression:       c.expression,
			ExpressionAttributeNames:  c.names,
			ExpressionAttributeValues: c.values,
		}}
	case w.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName:                 &t.name,
			Key:                       encodeKey(w.Item.Key),
			ConditionExpression:       c.expression,
			ExpressionAttributeNames:  c.names,
			ExpressionAttributeValues: c.values,
		}}
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName:                 &t.name,
		Item:                      encodeItem(w),
		ConditionExpression:       c.expression,
		ExpressionAttributeNames:  c.names,
		ExpressionAttributeValues: c.values,
	}}
}
