package call

import (
	"net/http"
	"strings"

	"carawayspread/internal/connection/bearer"
	"carawayspread/internal/connection/hopbyhop"
)

// OutgoingHeader returns the header that is sent to the endpoint.
//
// It does not contain the idempotency key, since net/http retries requests with such
// a header by itself and they would run twice.
func (c *Call) OutgoingHeader() http.Header {
	header := c.header.Clone()
	hopbyhop.Strip(header)
	for name := range header {
		if strings.HasPrefix(name, "Carawayspread-") {
			delete(header, name)
		}
	}
	header.Del("X-Idempotency-Key")
	header.Del(headerKey)
	bearer.Strip(header)
	header.Del("Accept-Encoding")
	header.Del("Expect")
	header.Del("Content-Length")
	header.Set(headerRequestID, c.id)
	return header
}
