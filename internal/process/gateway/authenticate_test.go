package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// refreshingConfig is a carawayspread.ConfigFreshness that adopts a newer configuration whenever
// its age is read, and is then fresh.
type refreshingConfig struct{ update func() }

func (r refreshingConfig) Age() (time.Duration, bool) {
	r.update()
	return 0, true
}

func (refreshingConfig) Refresh(context.Context) error { return nil }

// keyedRouting returns routes that require one of the keys.
func keyedRouting(version carawayspread.Version, keys ...string) *carawayspread.Routing {
	return carawayspread.NewRouting(version, []*carawayspread.Route{route("never", carawayspread.RetryNever, false, 1)},
		map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{BodyBytes: 100},
		carawayspread.WithKeyring(carawayspread.NewKeyring([]carawayspread.KeyHolder{
			{Workspace: carawayspread.NewWorkspace("w"), Keys: keys},
		})))
}

// Guards against accepting a revoked key by the age of a newer configuration, which no longer
// holds the key and was adopted between reading the keys and reading the age.
func TestKeyIsCheckedAgainstTheRoutingOfTheCheckedAge(t *testing.T) {
	b := newHarness(t)
	b.gateway.Adopt(keyedRouting(2, "revoked"))
	b.gateway.freshness = refreshingConfig{func() { b.gateway.Adopt(keyedRouting(3, "other")) }}
	b.gateway.keyPolicy.RevocationBound = time.Second
	resp, _, err := b.post(t, "/never/x", "body", "Authorization", "Bearer revoked")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, 401)
	qt.Check(t, b.transport.all(), qt.HasLen, 0)
}

// Guards against anonymous routes that require a key, and against a workspace that is derived from
// a key that no workspace holds.
func TestAnonymousRoute(t *testing.T) {
	for name, key := range map[string]string{"no key": "", "unknown key": "Bearer nobody", "good key": "Bearer good"} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
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
			resp, _, err := b.post(t, "/never/x", "body", headers...)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, 200)
			got := b.transport.all()[0].out.Header
			qt.Check(t, got.Get("Authorization"), qt.Equals, "")
			want := ""
			if name == "good key" {
				want = "w"
			}
			qt.Check(t, got.Get("Carawayspread-Tenant"), qt.Equals, want)
		})
	}
}

// Guards against requests that get the priority of their route although their workspace has
// another one.
func TestWorkspacePriorityOverridesRoutePriority(t *testing.T) {
	b := newHarness(t)
	b.gateway.Adopt(carawayspread.NewRouting(2, []*carawayspread.Route{route("never", carawayspread.RetryNever, false, 1)},
		map[string]carawayspread.RoutedService{"s": {Name: "s"}}, carawayspread.CallerLimits{BodyBytes: 100},
		carawayspread.WithKeyring(carawayspread.NewKeyring([]carawayspread.KeyHolder{
			{Workspace: carawayspread.NewWorkspace("w", carawayspread.WithPriority(3)), Keys: []string{"good"}},
		}))))
	_, _, err := b.post(t, "/never/x", "body", "Authorization", "Bearer good")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, b.transport.all()[0].out.Header.Get("Carawayspread-Request-Priority"), qt.Equals, "3")
}
