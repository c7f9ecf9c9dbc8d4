package authentication

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

const (
	revoked = 5 * time.Second
	added   = 3 * time.Second
)

func TestDecide(t *testing.T) {
	keyring := carawayspread.NewKeyring([]carawayspread.KeyHolder{
		{Workspace: carawayspread.NewWorkspace("w"), Keys: []string{"good"}},
	})
	tests := map[string]struct {
		q    Query
		none bool // no revocation bound is guaranteed
		want Verdict
	}{
		"known, fresh":            {q: Query{Token: "good", Age: time.Second, AgeKnown: true}, want: Accept},
		"known, at the bound":     {q: Query{Token: "good", Age: revoked, AgeKnown: true}, want: Accept},
		"known, over the bound":   {q: Query{Token: "good", Age: revoked + 1, AgeKnown: true}, want: Unproven},
		"known, age unknown":      {q: Query{Token: "good"}, want: Unproven},
		"known, current, too old": {q: Query{Token: "good", Age: revoked + 1, AgeKnown: true, Current: true}, want: Unproven},
		"known, no guarantee":     {q: Query{Token: "good"}, none: true, want: Accept},
		"unknown, not current":    {q: Query{Token: "bad", AgeKnown: true}, want: Unknown},
		"unknown, current":        {q: Query{Token: "bad", AgeKnown: true, Current: true}, want: Reject},
		"rejected before":         {q: Query{Token: "bad", Age: added, AgeKnown: true, Rejected: true}, want: Reject},
		"rejected before, stale":  {q: Query{Token: "bad", Age: added + 1, AgeKnown: true, Rejected: true}, want: Unknown},
		"rejected before, no age": {q: Query{Token: "bad", Rejected: true}, want: Unknown},
		"rejected before, known":  {q: Query{Token: "good", Age: added, AgeKnown: true, Rejected: true}, want: Accept},
		"no token":                {q: Query{AgeKnown: true}, want: Reject},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			policy := Policy{RevocationBound: revoked, ActivationBound: added}
			if test.none {
				policy.RevocationBound = 0
			}
			test.q.Keyring = keyring
			workspace, verdict := policy.Decide(test.q)
			qt.Check(t, verdict, qt.Equals, test.want)
			qt.Check(t, workspace.Name() == "w", qt.Equals, test.want == Accept)
		})
	}
}
