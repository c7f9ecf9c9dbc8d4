// Package fleet queries the listed instances, through their control services, for the configuration
// that they hold and the state of their endpoints, and requests drains.
package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"carawayspread"
	"carawayspread/internal/connection/adminapi"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/transfer"
)

const (
	// maxConcurrentCalls bounds the connections of one query of all instances: 360 instances take
	// twelve rounds of a millisecond, or of the timeout if none of them responds.
	maxConcurrentCalls = 32
	defaultTimeout     = time.Second
	// maxAnswerBytes bounds an answer: more than any sidecar's, and little for maxConcurrentCalls of them.
	maxAnswerBytes = 256 << 10
)

// Dial returns the client of the process at an IP address and port. That may be another one than the list says,
// which may send anything.
func Dial(address string) control.Control {
	fetch := transfer.New(transfer.Limits{
		ConnectTimeout: defaultTimeout, IdleTimeout: defaultTimeout, TotalTimeout: defaultTimeout, MaxBytes: maxAnswerBytes,
	})
	return control.NewControlProtobufClient("http://"+address, fetch.Client())
}

// Fleet queries the listed instances. It is safe for concurrent use.
type Fleet struct {
	list    func(ctx context.Context) ([]carawayspread.Instance, error)
	dial    func(address string) control.Control
	timeout time.Duration // bounds one call
}

// New returns a Fleet of the instances that list returns.
func New(list func(context.Context) ([]carawayspread.Instance, error), dial func(address string) control.Control) *Fleet {
	return &Fleet{list: list, dial: dial, timeout: defaultTimeout}
}

// Status queries every listed instance for its state and whether it holds the version or a newer
// one. The query is also a hint: an instance that does not hold the version reads the log at once.
func (f *Fleet) Status(ctx context.Context, version carawayspread.Version) ([]adminapi.Instance, error) {
	listed, err := f.list(ctx)
	if err != nil {
		return nil, err
	}
	states := make([]adminapi.Instance, len(listed))
	slots := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for i, instance := range listed {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			states[i] = f.queryInstance(ctx, instance, version)
		})
	}
	calls.Wait()
	return states, nil
}

func (f *Fleet) queryInstance(ctx context.Context, instance carawayspread.Instance, version carawayspread.Version) adminapi.Instance {
	state := adminapi.Instance{
		ID: instance.ID, Role: instance.Role, State: instance.State,
		Region: instance.Region, Zone: instance.Zone,
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	response, err := f.dial(instance.Control).Status(ctx, &control.StatusRequest{ConfigVersion: uint64(version)})
	switch {
	case err != nil:
		state.Reason = reason(ctx, err)
		return state
	case response.GetInstance() != instance.ID:
		// The list lags and the address now belongs to another process, whose response does not
		// apply to the listed instance.
		state.Reason = fmt.Sprintf("instance %s answers at its address", response.GetInstance())
		return state
	}
	state.Answered = true
	state.Version = carawayspread.Version(response.GetConfigVersion())
	state.Confirmed = state.Version >= version
	state.EvidenceAgeMs = response.GetEvidenceAgeMs()
	state.Draining = response.GetDraining()
	for _, e := range response.GetEndpoints() {
		state.Endpoints = append(state.Endpoints, adminapi.Endpoint{
			ID: e.GetEndpoint(), Role: e.GetRole(), Running: e.GetRunning(), Waiting: e.GetWaiting(),
			Slots: e.GetSlots(), Draining: e.GetDraining(), Crashed: e.GetCrashed(),
		})
	}
	return state
}

// reason returns why a call failed, without the addresses and ports that the error may contain: the
// result names the instance.
func reason(ctx context.Context, err error) string {
	if ctx.Err() != nil {
		return "no answer in time"
	}
	if twerr, ok := err.(twirp.Error); ok && twerr.Code() != twirp.Internal {
		return string(twerr.Code())
	}
	return "not reachable"
}

// RolloutStatus reports whether every listed instance confirmed a version.
func (f *Fleet) RolloutStatus(ctx context.Context, version carawayspread.Version) adminapi.RolloutStatus {
	states, err := f.Status(ctx, version)
	if err != nil {
		return adminapi.RolloutStatus{ListError: "the instance list cannot be read"}
	}
	return SummarizeRollout(states)
}

// SummarizeRollout returns which of the listed instances have not confirmed the version.
func SummarizeRollout(states []adminapi.Instance) adminapi.RolloutStatus {
	rollout := adminapi.RolloutStatus{}
	for _, state := range states {
		if state.Confirmed {
			continue
		}
		unconfirmed := adminapi.Unconfirmed{Instance: state.ID, Version: state.Version, Reason: state.Reason}
		if state.Answered {
			unconfirmed.Reason = fmt.Sprintf("holds version %d", state.Version)
		}
		rollout.Unconfirmed = append(rollout.Unconfirmed, unconfirmed)
	}
	rollout.InForce = len(rollout.Unconfirmed) == 0
	return rollout
}

// Drain requests that the sidecar of an instance, or that of an endpoint, assigns no new work.
// Draining is idempotent; if the response is lost, the call may be repeated.
func (f *Fleet) Drain(ctx context.Context, target adminapi.DrainRequest, actor string) (adminapi.DrainResult, error) {
	listed, err := f.list(ctx)
	if err != nil {
		return adminapi.DrainResult{}, carawayspread.NewError(
			carawayspread.CodeStoreUnavailable, "the instance list cannot be read; nothing was drained",
			carawayspread.NotRun(), carawayspread.RetryAfter(defaultTimeout), carawayspread.CausedBy(err),
		)
	}
	instance, ok := findInstance(listed, target)
	if !ok {
		return adminapi.DrainResult{}, carawayspread.NewError(
			carawayspread.CodeNotFound, "no listed instance has this instance or endpoint", carawayspread.NotRun(),
		)
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	response, err := f.dial(instance.Control).Drain(ctx, &control.DrainRequest{Endpoint: target.Endpoint, Actor: actor})
	if err != nil {
		return adminapi.DrainResult{}, carawayspread.NewError(
			carawayspread.CodeUnknownOutcome, "instance "+instance.ID+" did not answer; a drain may be asked for again",
			carawayspread.RetryAfter(defaultTimeout), carawayspread.CausedBy(err),
		)
	}
	return adminapi.DrainResult{Instance: instance.ID, Endpoint: target.Endpoint, Running: response.GetRunning()}, nil
}

func findInstance(listed []carawayspread.Instance, target adminapi.DrainRequest) (carawayspread.Instance, bool) {
	for _, instance := range listed {
		if target.Instance != "" && instance.ID != target.Instance {
			continue
		}
		if target.Endpoint == "" && target.Instance != "" {
			return instance, true
		}
		for _, endpoint := range instance.Endpoints {
			if string(endpoint.ID) == target.Endpoint {
				return instance, true
			}
		}
	}
	return carawayspread.Instance{}, false
}
