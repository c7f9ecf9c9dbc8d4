package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// renewing is evidence that becomes young as a newer configuration is taken.
type renewing struct{ take func() }

func (r renewing) Age() (time.Duration, bool) {
	r.take()
	return 0, true
}

func (renewing) Refresh(context.Context) error { return nil }

// keyed returns routes that ask for one of the keys.
func keyed(version carawayspread.Version, keys ...string) *carawayspread.Routing {
	return carawayspread.NewRouting(version, []*carawayspread.Route{route("never", carawayspread.RetryNever, false, 1)},
		map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{BodyBytes: 100},
		carawayspread.WithKeyring(carawayspread.NewKeyring([]carawayspread.KeyHolder{
			{Workspace: carawayspread.NewWorkspace("w"), Keys: keys},
		})))
}

// Guards against a revoked key that passes by the age of a configuration that came in
// between, in which it is gone.
func TestKeyIsJudgedByTheConfigurationThatIsProved(t *testing.T) {
	b := newBench(t)
	b.gateway.Adopt(keyed(2, "revoked"))
	b.gateway.evidence = renewing{func() { b.gateway.Adopt(keyed(3, "other")) }}
	b.gateway.access.RevocationBound = time.Second
	resp, _, err := b.ask(t, "/never/x", "body", "Authorization", "Bearer revoked")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 401)
	qt.Check(t, b.exchange.all(), qt.HasLen, 0)
}

// Guards against routes without a key that ask for one, and against a workspace that is
// taken from a key that nobody holds.
func TestAnonymousRoute(t *testing.T) {
	for name, key := range map[string]string{"no key": "", "unknown key": "Bearer nobody", "good key": "Bearer good"} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			open := route("never", carawayspread.RetryNever, false, 1)
			open.Anonymous = true
			b.gateway.Adopt(carawayspread.NewRouting(2, []*carawayspread.Route{open},
				map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{BodyBytes: 100},
				carawayspread.WithKeyring(carawayspread.NewKeyring([]carawayspread.KeyHolder{
					{Workspace: carawayspread.NewWorkspace("w"), Keys: []string{"good"}},
				}))))
			var headers []string
			if key != "" {
				headers = []string{"Authorization", key}
			}
			resp, _, err := b.ask(t, "/never/x", "body", headers...)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, 200)
			got := b.exchange.all()[0].out.Header
			qt.Check(t, got.Get("Authorization"), qt.Equals, "")
			want := ""
			if name == "good key" {
				want = "w"
			}
			qt.Check(t, got.Get("Carawayspread-Tenant"), qt.Equals, want)
		})
	}
}

// Guards against urgency that a route has and its caller's workspace does not.
func TestPriorityOfTheWorkspaceGoesFirst(t *testing.T) {
	b := newBench(t)
	b.gateway.Adopt(carawayspread.NewRouting(2, []*carawayspread.Route{route("never", carawayspread.RetryNever, false, 1)},
		map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{BodyBytes: 100},
		carawayspread.WithKeyring(carawayspread.NewKeyring([]carawayspread.KeyHolder{
			{Workspace: carawayspread.NewWorkspace("w", carawayspread.WithPriority(3)), Keys: []string{"good"}},
		}))))
	_, _, err := b.ask(t, "/never/x", "body", "Authorization", "Bearer good")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, b.exchange.all()[0].out.Header.Get("Carawayspread-Request-Priority"), qt.Equals, "3")
}
