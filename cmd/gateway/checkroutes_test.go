package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// routesText returns a configuration with that many routes.
func routesText(version, n int, extra string) []byte {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, `{"version":%d,"routes":[`+"\n", version)
	for i := range n {
		_, _ = fmt.Fprintf(&b, `{"name":"r-%d","host":"a.example","prefix":"/p%d/","kind":"safe","timeout_ms":1000,"target_latency_ms":200,"service":"s","max_attempts":2},`+"\n", i, i)
	}
	_, _ = b.WriteString(strings.TrimSuffix(extra, ","))
	text := strings.TrimSuffix(strings.TrimSuffix(b.String(), "\n"), ",")
	return []byte(text + `],"services":[{"name":"s"}],"limits":{"max_body_bytes":4096}}`)
}

func TestCheckRoutes(t *testing.T) {
	for name, c := range map[string]struct {
		body, inForce []byte
		code          int
		prints        string
	}{
		"nothing wrong":    {routesText(3, 2, ""), routesText(2, 2, ""), 0, ""},
		"older version":    {routesText(2, 2, ""), routesText(2, 2, ""), exitErrors, "error: f:1:1: version 2 is not newer than 2"},
		"a route more":     {routesText(3, 2, ""), routesText(2, 1, ""), 0, "differs: + route r-1\n"},
		"wrong type":       {routesText(3, 1, `{"name":"x","host":"a.example","prefix":"/x/","kind":"safe","timeout_ms":"1000"}`), nil, exitErrors, "error: f:3:74: routes[1].timeout_ms: must be a whole number, is string\n"},
		"prefix":           {routesText(3, 1, `{"name":"x","host":"a.example","prefix":"x/","service":"s","timeout_ms":1}`), nil, exitErrors, "error: f:3:1: routes[1]: prefix: must begin and end with a slash"},
		"never matches":    {routesText(3, 1, `{"name":"q","host":"a.example","prefix":"/p0/","service":"s","timeout_ms":1}`), nil, exitWarnings, `warning: f:3:1: routes[1]: never matches: route "r-0"`},
		"not JSON":         {[]byte(`{"version":`), nil, exitErrors, "error: f:1:12: malformed JSON"},
		"comments":         {[]byte("{\"version\":1,\"routes\":[],\"services\":[]} // new\n"), nil, exitErrors, "without comments"},
		"no version":       {[]byte(`{"routes":[],"services":[]}`), nil, exitErrors, "error: f:1:1: version: missing"},
		"version not read": {[]byte(`{"version":-1,"routes":[],"services":[]}`), nil, exitErrors, "version: must be"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			qt.Check(t, checkRoutes(&out, "f", c.body, c.inForce), qt.Equals, c.code)
			qt.Check(t, out.String(), qt.Contains, c.prints)
			qt.Check(t, c.code == 0 && c.prints == "" && out.Len() > 0, qt.IsFalse)
		})
	}
}

func BenchmarkCheckRoutes(b *testing.B) {
	body, inForce := routesText(3, 14_000, ""), routesText(2, 13_900, "")
	for b.Loop() {
		var out bytes.Buffer
		checkRoutes(&out, "f", body, inForce)
	}
}
