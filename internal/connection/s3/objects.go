package s3

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/connection/framed"
)

const (
	defaultBucket   = "carawayspread"
	defaultRegion   = "local"
	idleConnections = 4
	idleConnTimeout = 90 * time.Second
	maxObjectBytes  = 64 << 20 // bounds the memory that reading one object takes
)

// Objects is a client of the platform's object store. It is safe for concurrent use.
type Objects struct {
	client *s3.Client
	http   *http.Client
	bucket string
}

type settings struct {
	bucket, region, id, secret string
}

// Option sets an optional part of Objects.
type Option func(*settings)

// WithBucket sets the name of the bucket.
func WithBucket(name string) Option { return func(s *settings) { s.bucket = name } }

// WithRegion sets the region that requests are signed for.
func WithRegion(region string) Option { return func(s *settings) { s.region = region } }

// WithCredentials sets the static credentials.
func WithCredentials(id, secret string) Option {
	return func(s *settings) { s.id, s.secret = id, secret }
}

// New returns a client of the object store at a base URL such as http://127.0.0.1:9000.
func New(baseURL string, opts ...Option) *Objects {
	s := settings{bucket: defaultBucket, region: defaultRegion, id: "none", secret: "none"}
	for _, opt := range opts {
		opt(&s)
	}
	httpClient := &http.Client{Transport: framed.New(&http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleConnTimeout,
	})}
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(baseURL),
		Region:                     s.region,
		Credentials:                credentials.NewStaticCredentialsProvider(s.id, s.secret, ""),
		UsePathStyle:               true, // instances are addressed by IP address
		HTTPClient:                 httpClient,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Objects{client: client, http: httpClient, bucket: s.bucket}
}

// Close closes idle connections.
func (o *Objects) Close() { o.http.CloseIdleConnections() }

// Get reads a whole object, or returns carawayspread.ErrNoObject.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &o.bucket, Key: &name})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, carawayspread.ErrNoObject
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = out.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(out.Body, maxObjectBytes+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(body) > maxObjectBytes {
		return nil, fmt.Errorf("object %q exceeds %d bytes", name, maxObjectBytes)
	}
	return body, nil
}

// Put stores a whole object and replaces an existing one.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{Bucket: &o.bucket, Key: &name, Body: bytes.NewReader(body)})
	return trace.Wrap(err)
}
