package openai

import (
	"encoding/json"
	"runtime"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a body of legal size whose messages take many times its size: millions of elements of two bytes.
func TestManyMessagesTakeNoMoreThanTheBody(t *testing.T) {
	const bodyBytes = 8 << 20
	for name, element := range map[string]string{"numbers": "1", "lists": "[]", "objects": `{"a":{}}`, "texts": `"x"`} {
		t.Run(name, func(t *testing.T) {
			elements := strings.Repeat(element+",", bodyBytes/(len(element)+1)) + element
			body := []byte(`{"model":"m","messages":[` + elements + `]}`)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			completion, err := Decode(body)
			runtime.ReadMemStats(&after)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, completion.Parts(), qt.HasLen, 1)
			taken := after.TotalAlloc - before.TotalAlloc
			qt.Check(t, taken <= DecodeFactor*bodyBytes, qt.IsTrue, qt.Commentf("%d MB", taken>>20))
		})
	}
}

// Messages that are split wrongly are told apart, or taken for shared ones, at the cost of other requests.
func TestFirstMessagesAreThoseOfEncodingJSON(t *testing.T) {
	text := rapid.SampledFrom([]string{`"a"`, `"\\"`, `"\"],["`, `"{"`, `""`})
	value := rapid.OneOf(text, rapid.SampledFrom([]string{"1", "null", "[]", "{}", `[1,[2,"]"]]`, `{"role":"user","content":"a,b"}`, `{"}":[",",{}]}`}))
	space := rapid.SampledFrom([]string{"", " ", "\n\t"})
	rapid.Check(t, func(t *rapid.T) {
		var list strings.Builder
		list.WriteString(space.Draw(t, "before") + "[")
		for i := range rapid.IntRange(0, 2*maxParts).Draw(t, "n") {
			if i > 0 {
				list.WriteString(",")
			}
			list.WriteString(space.Draw(t, "s") + value.Draw(t, "v") + space.Draw(t, "s"))
		}
		list.WriteString("]" + space.Draw(t, "after"))
		var want []json.RawMessage
		if err := json.Unmarshal([]byte(list.String()), &want); err != nil {
			t.Fatal(err)
		}
		want = want[:min(max(0, len(want)-1), maxParts)]
		if got := firstMessages(json.RawMessage(list.String())); !slices.EqualFunc(got, want, func(a, b json.RawMessage) bool { return string(a) == string(b) }) {
			t.Fatalf("%s: %s, want %s", list.String(), got, want)
		}
	})
}
