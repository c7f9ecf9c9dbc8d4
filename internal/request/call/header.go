package call

import (
	"net/http"
	"strings"

	"carawayspread/internal/connection/bearer"
	"carawayspread/internal/connection/hopbyhop"
)

// OutgoingHeader returns the header that goes on to the endpoint.
//
// The idempotency key is not passed on: net/http repeats requests that carry
// it on its own, which would run them twice.
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
