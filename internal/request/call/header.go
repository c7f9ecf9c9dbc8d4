package call

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// OutgoingHeader returns the header that goes on to the endpoint.
//
// The idempotency key is not passed on: net/http repeats requests that carry
// it on its own, which would run them twice.
func (c *Call) OutgoingHeader() http.Header {
	header := c.header.Clone()
	StripHopByHop(header)
	for name := range header {
		if strings.HasPrefix(name, "Carawayspread-") {
			delete(header, name)
		}
	}
	header.Del("X-Idempotency-Key")
	header.Del(headerKey)
	header.Del("Authorization")
	header.Del("Accept-Encoding")
	header.Del("Expect")
	header.Del("Content-Length")
	header.Set(headerRequestID, c.id)
	return header
}

// StripHopByHop removes the headers that concern one connection only.
func StripHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}
