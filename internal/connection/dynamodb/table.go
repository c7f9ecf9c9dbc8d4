package dynamodb

import (
	"context"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"carawayspread"
	"carawayspread/internal/connection/framed"
)

const (
	defaultTable    = "carawayspread"
	defaultRegion   = "local"
	idleConnections = 16 // one process has few requests in flight; group commit bounds its writes
	idleConnTimeout = 90 * time.Second
)

// Table is a client of the platform's table service. It is safe for concurrent use.
type Table struct {
	client *dynamodb.Client
	sender *sender
	name   string // of the physical table that holds all items
}

type settings struct {
	table  string
	region string
	id     string
	secret string
}

// Option sets an optional part of a Table.
type Option func(*settings)

// WithName sets the name of the physical table.
func WithName(name string) Option { return func(s *settings) { s.table = name } }

// WithRegion sets the region that requests are signed for.
func WithRegion(region string) Option { return func(s *settings) { s.region = region } }

// WithCredentials sets the static credentials.
func WithCredentials(id, secret string) Option {
	return func(s *settings) { s.id, s.secret = id, secret }
}

// New returns a client of the table service at a base URL such as http://127.0.0.1:8000.
func New(baseURL string, opts ...Option) *Table {
	s := settings{table: defaultTable, region: defaultRegion, id: "none", secret: "none"}
	for _, opt := range opts {
		opt(&s)
	}
	sender := &sender{client: &http.Client{Transport: framed.New(newTransport())}}
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(baseURL),
		Region:       s.region,
		Credentials:  credentials.NewStaticCredentialsProvider(s.id, s.secret, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   sender,
	})
	return &Table{client: client, sender: sender, name: s.table}
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// Close closes idle connections.
func (t *Table) Close() { t.sender.client.CloseIdleConnections() }

// Get reads one item consistently, or returns carawayspread.ErrNoItem.
func (t *Table) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &t.name,
		Key:            encodeKey(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return carawayspread.Item{}, classify(err)
	}
	if len(out.Item) == 0 {
		return carawayspread.Item{}, carawayspread.ErrNoItem
	}
	return decodeItem(out.Item)
}

// Query reads consistently the items of a partition whose sort key is greater than after, in
// ascending order, at most limit. It follows the service's pagination.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, error) {
	var items []carawayspread.Item
	for len(items) < limit {
		page, more, err := t.queryPage(ctx, partition, after, limit-len(items))
		if err != nil {
			return nil, err
		}
		items = append(items, page...)
		if !more || len(page) == 0 {
			return items, nil
		}
		after = page[len(page)-1].Key.Sort
	}
	return items, nil
}

func (t *Table) queryPage(ctx context.Context, partition, after string, limit int) ([]carawayspread.Item, bool, error) {
	in := &dynamodb.QueryInput{
		TableName:                 &t.name,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("#p = :p"),
		ExpressionAttributeNames:  map[string]string{"#p": attributePartition},
		ExpressionAttributeValues: map[string]types.AttributeValue{":p": stringValue(partition)},
		Limit:                     aws.Int32(int32(limit)),
	}
	if after != "" { // the service rejects an empty key
		in.KeyConditionExpression = aws.String("#p = :p AND #s > :s")
		in.ExpressionAttributeNames["#s"] = attributeSort
		in.ExpressionAttributeValues[":s"] = stringValue(after)
	}
	out, err := t.client.Query(ctx, in)
	if err != nil {
		return nil, false, classify(err)
	}
	items, err := decodeItems(out.Items)
	return items, len(out.LastEvaluatedKey) > 0, err
}

// Apply performs all writes or none.
func (t *Table) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	if err := validate(ctx, writes); err != nil {
		return unavailable(err)
	}
	if len(writes) == 0 {
		return nil
	}
	if len(writes) == 1 && !writes[0].CheckOnly {
		return classify(t.applyOne(ctx, writes[0]))
	}
	return classify(t.transact(ctx, writes))
}
