// Package hopbyhop removes the HTTP headers that apply to one connection only (RFC 9110, 7.6.1).
package hopbyhop

import (
	"net/http"
	"strings"
)

var names = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip removes the hop-by-hop headers and those that Connection lists as such.
func Strip(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range names {
		h.Del(name)
	}
}
