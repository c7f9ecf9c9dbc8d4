// Package bearer parses the bearer tokens of HTTP requests (RFC 9110, 11.6.2, and RFC 6750, 2.1).
package bearer

import (
	"errors"
	"net/http"
	"strings"
)

const (
	scheme = "bearer"
	// maxTokenBytes bounds the length of a token, without its padding.
	maxTokenBytes = 512
)

// Challenge is the value of WWW-Authenticate in an answer to a request without a valid credential.
const Challenge = "Bearer"

var (
	// ErrMissing means that the request has no credential.
	ErrMissing = errors.New("no credential")
	// ErrMalformed means that the request has no well-formed bearer token but something else: another
	// scheme, two credentials, or characters that a token cannot have.
	ErrMalformed = errors.New("malformed credential")
)

// header is the header that carries the credential.
const header = "Authorization"

// Strip removes the credential, which is meant for this system only.
func Strip(h http.Header) { h.Del(header) }

// Token returns the bearer token of a request, or ErrMissing or ErrMalformed.
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

// isToken68 reports whether the text is a token68 (RFC 9110, 11.2) of at most maxTokenBytes.
func isToken68(text string) bool {
	text = strings.TrimRight(text, "=")
	if text == "" || len(text) > maxTokenBytes {
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
