package dynamodb

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

type transport func(*http.Request) (*http.Response, error)

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

// The service answers at once, and the SDK closes the request's body while the transport still
// checks its end. Guards against a transport that sees a failed write instead of the end and closes
// the connection while the answer is being read: reads would fail occasionally although the service
// works, and writes would be reported as unknown.
func TestClosedBodyEndsCleanly(t *testing.T) {
	var copyErr error
	client := New("http://127.0.0.1:1")
	client.client.Options().HTTPClient.(*sender).client.Transport = transport(func(r *http.Request) (*http.Response, error) {
		qt.Assert(t, r.Body.Close(), qt.IsNil)
		_, copyErr = io.Copy(io.Discard, r.Body)
		return nil, errors.New("no answer")
	})
	_, err := client.Get(context.Background(), carawayspread.Key{Partition: "p", Sort: "a"})
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, copyErr, qt.IsNil)
}
