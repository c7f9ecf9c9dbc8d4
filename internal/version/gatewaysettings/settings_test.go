package gatewaysettings

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const validSettings = `{
  // a comment
  "instance": {"id": "g", "zone": "z"},
  "addresses": {"listen": "10.0.0.1:1", "health": "10.0.0.1:2", "peer": "10.0.0.1:3", "metrics": "10.0.0.1:4"},
  "seeds": ["10.0.0.2:3"], "store": "10.0.0.9:5", "grace": "8s", "memoryMegabytes": 284,
  "retries": {"ratio": 0.2, "slack": 54, "window": "10s"}
}`

func TestParse(t *testing.T) {
	s, err := Parse("gateway.jsonc", []byte(validSettings))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Listen(), qt.Equals, "10.0.0.1:1")
	qt.Check(t, s.Seeds(), qt.DeepEquals, []string{"10.0.0.2:3"})
	qt.Check(t, s.Grace(), qt.Equals, 8*time.Second)
	qt.Check(t, s.Memory(), qt.Equals, int64(284<<20))
	qt.Check(t, s.RetryLimits().Ratio, qt.Equals, 0.2)
	qt.Check(t, s.Placement(), qt.Equals, "estimate")
	qt.Check(t, s.Bounds().Drain, qt.Equals, 2*time.Second)

	s, err = Parse("gateway.jsonc", []byte(strings.Replace(validSettings, `"store"`,
		`"limits": {"cores": 0.144, "linkMegabits": 20.0, "maxLateness": "30ms", "descriptors": 4100, "waiting": 64}, "promises": {"leaving": "4000ms", "inForce": "3s"}, "store"`, 1)))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Bounds().Drain, qt.Equals, 4*time.Second)
	qt.Check(t, s.Bounds().ConfigApply, qt.Equals, 3*time.Second)
	qt.Check(t, s.Capacity(), qt.Equals, uint32(2880))
	qt.Check(t, s.MaxWaiting(), qt.Equals, 64)
	qt.Check(t, s.Descriptors(), qt.Equals, int64(4100))
	qt.Check(t, s.BackupLinkShare(), qt.Equals, 0.0)

	s, err = Parse("gateway.jsonc", []byte(strings.Replace(validSettings, `"store"`, `"runBackups": {"linkShare": 0.05}, "store"`, 1)))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.BackupLinkShare(), qt.Equals, 0.05)

	s, err = Parse("gateway.jsonc", []byte(strings.Replace(validSettings, `"store"`,
		`"usage": {"address": "10.0.0.3:1", "window": "5s", "due": "10s", "throughSilence": true}, "store"`, 1)))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Usage().ThroughSilence(), qt.IsTrue)
}

// An invalid file must be refused with every fault and its position in one error.
func TestParseReportsEveryFault(t *testing.T) {
	for name, test := range map[string]struct{ from, to, want string }{
		"malformed":            {`"store":`, `"store" `, `gateway.jsonc:5:37: malformed JSON`},
		"missing":              {`"store": "10.0.0.9:5", `, ``, `store: missing`},
		"name for IP":          {`10.0.0.9:5`, `host:5`, `store: must be an IP number and port`},
		"unknown field":        {`"grace"`, `"grase"`, `grase: unknown field`},
		"negative":             {`"slack": 54`, `"slack": -1`, `retries: ratio and slack must not be negative`},
		"no duration":          {`"8s"`, `8`, `grace: must be a duration`},
		"lateness":             {`"store"`, `"limits": {"cores": 1, "linkMegabits": 20, "maxLateness": "2s"}, "store"`, `limits.maxLateness: `},
		"descriptors":          {`"store"`, `"limits": {"cores": 1, "linkMegabits": 20, "descriptors": 3}, "store"`, `limits.descriptors: `},
		"waiting":              {`"store"`, `"limits": {"cores": 1, "linkMegabits": 20, "waiting": -1}, "store"`, `limits.waiting: `},
		"through silence":      {`"store"`, `"usage": {"address": "10.0.0.3:1", "window": "5s", "due": "10s", "throughSilence": 1}, "store"`, `usage.throughSilence: `},
		"no capacity":          {`"store"`, `"limits": {"cores": 0, "linkMegabits": 20}, "store"`, `limits: cores and linkMegabits must be positive`},
		"incomplete promises":  {`"store"`, `"promises": {"leaving": "2s"}, "store"`, `promises.inForce: missing`},
		"bound too short":      {`"store"`, `"promises": {"leaving": "2s", "inForce": "1ms"}, "store"`, `promises.inForce: must be`},
		"share of the links":   {`"store"`, `"runBackups": {"linkShare": 1.5}, "store"`, `runBackups: linkShare must be above 0 and at most 1`},
		"no share":             {`"store"`, `"runBackups": {}, "store"`, `runBackups.linkShare: missing`},
		"hedging of too much":  {`"store"`, `"hedging": {"share": 0.2}, "store"`, `hedging: share must be from 0 to 0.1`},
		"hedging of less":      {`"store"`, `"hedging": {"share": -0.1}, "store"`, `hedging: share must be from 0 to 0.1`},
		"hedging of nothing":   {`"store"`, `"hedging": {}, "store"`, `hedging.share: missing`},
		"invalid seed address": {`["10.0.0.2:3"]`, `["x"]`, `seeds[0]: must be an IP number and port`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("gateway.jsonc", []byte(strings.Replace(validSettings, test.from, test.to, 1)))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, err.Error(), qt.Contains, test.want)
		})
	}
	_, err := Parse("gateway.jsonc", []byte(`{}`))
	qt.Check(t, strings.Count(err.Error(), "missing"), qt.Equals, 7, qt.Commentf("%v", err))
}

// FuzzParse parses arbitrary contents: a file must be refused, or its settings must be usable.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"instance": {"id": "g"`))
	f.Add([]byte(strings.Replace(validSettings, `"8s"`, `"-8s"`, 1)))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("gateway.jsonc", text)
		if err != nil {
			return
		}
		if s.Listen() == "" || s.Store() == "" || s.Grace() <= 0 || s.Memory() <= 0 || s.RetryLimits().Window <= 0 || s.RetryLimits().Ratio < 0 {
			t.Fatalf("accepted: %s", text)
		}
	})
}
