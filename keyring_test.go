package carawayspread

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestKeyring(t *testing.T) {
	a, b := NewWorkspace("a"), NewWorkspace("b", WithPriority(1))
	tests := map[string]struct {
		holders []KeyHolder
		key     string
		want    string // empty for no workspace
	}{
		"first key":                   {[]KeyHolder{{a, []string{"k1", "k2"}}}, "k1", "a"},
		"second key":                  {[]KeyHolder{{a, []string{"k1", "k2"}}}, "k2", "a"},
		"another workspace":           {[]KeyHolder{{a, []string{"k1"}}, {b, []string{"k2"}}}, "k2", "b"},
		"unknown":                     {[]KeyHolder{{a, []string{"k1"}}}, "k", ""},
		"no keys":                     {[]KeyHolder{{a, nil}}, "k1", ""},
		"nobody":                      {nil, "k1", ""},
		"held by two workspaces":      {[]KeyHolder{{a, []string{"k1"}}, {b, []string{"k1"}}}, "k1", ""},
		"held twice by one workspace": {[]KeyHolder{{a, []string{"k1", "k1"}}}, "k1", "a"},
		"unambiguous key beside an ambiguous one": {[]KeyHolder{{a, []string{"k1", "k2"}}, {b, []string{"k1"}}}, "k2", "a"},
		"longer than the stack buffer":            {[]KeyHolder{{a, []string{fmt.Sprintf("%0300d", 1)}}}, fmt.Sprintf("%0300d", 1), "a"},
		"long keys with a common prefix":          {[]KeyHolder{{a, []string{fmt.Sprintf("%0300d", 1)}}}, fmt.Sprintf("%0300d", 2), ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			workspace, held := NewKeyring(test.holders).Workspace(test.key)
			qt.Check(t, workspace.Name(), qt.Equals, test.want)
			qt.Check(t, held, qt.Equals, test.want != "")
		})
	}
	qt.Check(t, NewKeyring([]KeyHolder{{a, []string{"k"}}, {b, []string{"k"}}}).Ambiguous(), qt.Equals, 1)
	qt.Check(t, a.Priority(3), qt.Equals, 3)
	qt.Check(t, b.Priority(3), qt.Equals, 1)
}

// newTestKeyring returns a keyring of n workspaces with two keys each.
func newTestKeyring(n int) *Keyring {
	holders := make([]KeyHolder, n)
	for i := range holders {
		holders[i] = KeyHolder{NewWorkspace(fmt.Sprint("w", i)), []string{fmt.Sprintf("key-%016d-a", i), fmt.Sprintf("key-%016d-b", i)}}
	}
	return NewKeyring(holders)
}

// Guards against an allocation for each authenticated request.
func TestKeyLookupDoesNotAllocate(t *testing.T) {
	keyring, key := newTestKeyring(82), fmt.Sprintf("key-%016d-b", 81)
	qt.Check(t, testing.AllocsPerRun(100, func() { keyring.Workspace(key) }), qt.Equals, 0.0)
}

func BenchmarkKeyLookup(b *testing.B) {
	for _, n := range []int{82, 6800} {
		b.Run(fmt.Sprint(n, " workspaces"), func(b *testing.B) {
			keyring, key := newTestKeyring(n), fmt.Sprintf("key-%016d-b", n-1)
			b.ReportAllocs()
			for b.Loop() {
				keyring.Workspace(key)
			}
		})
	}
}
