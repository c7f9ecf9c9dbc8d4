package bearer

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestToken(t *testing.T) {
	tests := map[string]struct {
		values []string
		token  string
		err    error
	}{
		"plain":              {values: []string{"Bearer abc123"}, token: "abc123"},
		"scheme in capitals": {values: []string{"BEARER abc"}, token: "abc"},
		"more spaces":        {values: []string{" Bearer   abc\t"}, token: "abc"},
		"padded":             {values: []string{"Bearer a-b._~+/=="}, token: "a-b._~+/=="},
		"longest":            {values: []string{"Bearer " + strings.Repeat("k", maxTokenBytes)}, token: strings.Repeat("k", maxTokenBytes)},
		"none":               {err: ErrMissing},
		"two":                {values: []string{"Bearer a", "Bearer a"}, err: ErrMalformed},
		"two in one":         {values: []string{"Bearer a, Bearer b"}, err: ErrMalformed},
		"empty":              {values: []string{""}, err: ErrMalformed},
		"scheme alone":       {values: []string{"Bearer "}, err: ErrMalformed},
		"no space":           {values: []string{"Bearerabc"}, err: ErrMalformed},
		"tab for space":      {values: []string{"Bearer\tabc"}, err: ErrMalformed},
		"another scheme":     {values: []string{"Basic YTpi"}, err: ErrMalformed},
		"padding alone":      {values: []string{"Bearer =="}, err: ErrMalformed},
		"padding inside":     {values: []string{"Bearer a=b"}, err: ErrMalformed},
		"control byte":       {values: []string{"Bearer a\x00"}, err: ErrMalformed},
		"over-long":          {values: []string{"Bearer " + strings.Repeat("k", maxTokenBytes+1)}, err: ErrMalformed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := http.Header{}
			for _, value := range test.values {
				h.Add("Authorization", value)
			}
			token, err := Token(h)
			qt.Check(t, token, qt.Equals, test.token)
			qt.Check(t, err, qt.Equals, test.err)
		})
	}
}
