// Package bearer reads the credentials that HTTP callers send (RFC 9110, 11.6.2, and
// RFC 6750, 2.1).
package bearer

import (
	"errors"
	"net/http"
	"strings"
)

const (
	scheme = "bearer"
	// longest bounds a token in bytes.
	longest = 512
)

// Challenge is the value of WWW-Authenticate in an answer to a request without a
// credential that holds.
const Challenge = "Bearer"

var (
	// ErrMissing says that the request carries no credential.
	ErrMissing = errors.New("no credential")
	// ErrMalformed says that the request carries something that can be no token:
	// another scheme, two credentials, or characters that no token has.
	ErrMalformed = errors.New("malformed credential")
)

// header is where callers put their credentials.
const header = "Authorization"

// Strip removes the credentials, which are for this system alone.
func Strip(h http.Header) { h.Del(header) }

// Token returns the bearer token of a request.
func Token(h http.Header) (string, error) {
	values := h[header]
	switch len(values) {
	case 0:
		return "", ErrMissing
	case 1:
	default:
		return "", ErrMalformed
	}
	value := strings.Trim(values[0], " \t")
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) || value[len(scheme)] != ' ' {
		return "", ErrMalformed
	}
	token := strings.TrimLeft(value[len(scheme):], " ")
	if !isToken68(token) {
		return "", ErrMalformed
	}
	return token, nil
}

// isToken68 reports whether the text has the syntax of RFC 9110, 11.2.
func isToken68(text string) bool {
	text = strings.TrimRight(text, "=")
	if text == "" || len(text) > longest {
		return false
	}
	for i := range len(text) {
		switch c := text[i]; {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case strings.IndexByte("-._~+/", c) >= 0:
		default:
			return false
		}
	}
	return true
}
