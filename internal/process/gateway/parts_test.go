package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/decision/suspectparts"
	"carawayspread/platform/wire"
)

// crashedAt returns reports of crashes of the part at three endpoints, under prompts of these sessions.
func crashedAt(part uint64, sessions ...uint32) []carawayspread.PartCrash {
	var crashes []carawayspread.PartCrash
	for i, session := range sessions {
		crashes = append(crashes, carawayspread.PartCrash{
			Part: part, Endpoint: carawayspread.EndpointID([]string{"x", "y", "z"}[i]), Witness: session,
			Age: 10*time.Second - time.Duration(i)*time.Second,
		})
	}
	return crashes
}

func keysOf(model, parts string) []uint64 {
	h := http.Header{}
	h.Set("Carawayspread-Model", model)
	h.Set("Carawayspread-Token-Count", "100,5")
	h.Set("Carawayspread-Prefix-Hash", parts)
	return wire.Protocol{}.ParseRequest(h).Prompt.SharedPartKeys()
}

// A request is refused for a part that it does not have, or sent to endpoints in spite of one that it has.
func TestRequestIsRefusedForAHarmfulPartOnly(t *testing.T) {
	for name, test := range map[string]struct {
		header   []string
		path     string
		sessions []uint32
		want     int
	}{
		"the part":                   {[]string{prefixHash, "aa:5,dd:5,01:5"}, "/never/x", []uint32{1, 2, 3}, 503},
		"as the last part":           {[]string{prefixHash, "aa:5,dd:5"}, "/never/x", []uint32{1, 2, 3}, 200},
		"as the only part":           {[]string{prefixHash, "dd:5"}, "/never/x", []uint32{1, 2, 3}, 200},
		"another part":               {[]string{prefixHash, "aa:5,bb:5,01:5"}, "/never/x", []uint32{1, 2, 3}, 200},
		"no parts":                   {nil, "/never/x", []uint32{1, 2, 3}, 200},
		"a list that cannot be read": {[]string{prefixHash, "dd:5,%%,01:5"}, "/never/x", []uint32{1, 2, 3}, 200},
		"twice":                      {[]string{prefixHash, "dd:5,dd:5,01:5"}, "/never/x", []uint32{1, 2, 3}, 503},
		"another model":              {[]string{prefixHash, "aa:5,dd:5,01:5", "Carawayspread-Model", "other"}, "/never/x", []uint32{1, 2, 3}, 200},
		"crashes of one session":     {[]string{prefixHash, "aa:5,dd:5,01:5"}, "/never/x", []uint32{1, 1, 1}, 200},
		"two crashes":                {[]string{prefixHash, "aa:5,dd:5,01:5"}, "/never/x", []uint32{1, 2}, 200},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.gateway.LearnParts(crashedAt(keysOf("", "dd:5,01:5")[0], test.sessions...))
			resp, _, err := b.post(t, test.path, "body", append([]string{tokens, "100,5"}, test.header...)...)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.want)
		})
	}
}

// After its refusal a harmful part crashes one endpoint for each process, or one at every end of a refusal.
func TestTrialOfAPartIsOneRequest(t *testing.T) {
	b := newHarness(t, disconnect())
	b.gateway.LearnParts(crashedAt(keysOf("", "dd:5,01:5")[0], 1, 2, 3))
	claims := 0
	b.gateway.claimTrial = func(_ context.Context, part uint64) bool {
		claims++
		b.gateway.Parts().Restore(part, suspectparts.RefusalAfterTrial(claims))
		return true
	}
	b.clock.Advance(suspectparts.Refusal)
	for range 3 {
		_, _, err := b.post(t, "/resume/x", "body", tokens, "100,5", prefixHash, "dd:5,01:5")
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, claims, qt.Equals, 1)
	qt.Check(t, b.transport.all(), qt.HasLen, 1)
}

const prefixHash = "Carawayspread-Prefix-Hash"

// A part is found to crash endpoints while the prompt is prefilled, and the request is decoded all the same.
func TestPartFoundDuringThePrefillIsNotDecoded(t *testing.T) {
	b := newHarness(t)
	transport := &crashingTransport{crash: disconnect()}
	transport.duringPrefill = func() { b.gateway.LearnParts(crashedAt(keysOf("", "dd:5,01:5")[0], 1, 2, 3)) }
	b.gateway.transport = transport
	b.restartedEngines(0, []carawayspread.Role{carawayspread.RolePrefill, carawayspread.RoleDecode})
	resp, _, err := b.post(t, "/once/x", harmful, tokens, "5000,50", prefixHash, "dd:4000,01:1000")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, transport.crashed(), qt.Equals, 0)
}

// A harmless request is refused for two minutes, as it ran at two endpoints that another request's part
// crashed.
func TestRequestBesideAHarmfulPartIsServed(t *testing.T) {
	for name, partFirst := range map[string]bool{"the part is found later": false, "the part is found first": true} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			find := func() { b.gateway.LearnParts(crashedAt(keysOf("", "dd:5,01:5")[0], 1, 2, 3)) }
			if partFirst {
				find()
			}
			for _, id := range []carawayspread.EndpointID{"x", "z"} {
				b.gateway.RecordCrash(fingerprint("/never/x", []byte("harmless")), id, false)
			}
			if !partFirst {
				find()
			}
			resp, _, err := b.post(t, "/never/x", "harmless", tokens, "100,5", prefixHash, "aa:5,02:5")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, 200)
		})
	}
}
