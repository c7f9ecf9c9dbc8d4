package document

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// literal returns the value if it is a literal of one of the kinds. A literal of another kind, or
// an object or array, is reported as a finding.
func (n Node) literal(want string, kinds ...hujson.Kind) (hujson.Literal, bool) {
	if n.suppressed || n.value == nil {
		return nil, false
	}
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || !slices.Contains(kinds, literal.Kind()) {
		n.rejectType(want)
		return nil, false
	}
	return literal, true
}

// Text returns a string; an empty one is recorded as a finding.
func (n Node) Text() string {
	literal, ok := n.literal("a string", '"')
	if !ok {
		return ""
	}
	text := literal.String()
	if strings.TrimSpace(text) == "" {
		n.Fail("must not be empty")
	}
	return text
}

// OneOf returns a string; one that is not among the choices is recorded as a finding.
func (n Node) OneOf(choices ...string) string {
	text := n.Text()
	if text != "" && !slices.Contains(choices, text) {
		n.Fail("must be %s, is %q", strings.Join(choices, " or "), text)
	}
	return text
}

// Bool returns true or false.
func (n Node) Bool() bool {
	literal, ok := n.literal("true or false", 't', 'f')
	return ok && literal.Bool()
}

// Int returns a whole number; one outside low to high is recorded as a finding.
func (n Node) Int(low, high int64) int64 {
	literal, ok := n.literal("a whole number", '0')
	if !ok {
		return 0
	}
	value, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil {
		n.Fail("must be a whole number, is %s", literal)
		return 0
	}
	if value < low || value > high {
		n.Fail("must be from %d to %d, is %d", low, high, value)
	}
	return value
}

// Number returns a number.
func (n Node) Number() float64 {
	literal, ok := n.literal("a number", '0')
	if !ok {
		return 0
	}
	value, err := strconv.ParseFloat(string(literal), 64)
	if err != nil {
		n.Fail("is no number that can be held: %s", literal)
		return 0
	}
	return value
}

// Duration returns a duration such as "300ms"; one outside low to high is recorded as a finding.
func (n Node) Duration(low, high time.Duration) time.Duration {
	literal, ok := n.literal(`a duration such as "300ms"`, '"')
	if !ok {
		return 0
	}
	value, err := time.ParseDuration(literal.String())
	if err != nil {
		n.Fail(`must be a duration such as "300ms", is %q`, literal.String())
		return 0
	}
	if value < low || value > high {
		n.Fail("must be from %v to %v, is %v", low, high, value)
	}
	return value
}

// Address returns an IP address and port such as 127.0.0.1:8080.
func (n Node) Address() string {
	text := n.Text()
	if text == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		n.Fail("must be an IP number and port such as 127.0.0.1:8080, is %q", text)
	}
	return text
}

// UncheckedText returns a string and records no finding; ok is false if the value is not a string.
func (n Node) UncheckedText() (text string, ok bool) {
	if !n.Exists() {
		return "", false
	}
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", false
	}
	return literal.String(), true
}
