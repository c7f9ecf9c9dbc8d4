// Package fleet asks the listed instances, through their control services, what
// they hold and do, and orders drains.
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
)

const (
	// askedAtOnce bounds the connections of one inquiry: 360 instances take
	// twelve rounds of a millisecond, or of the timeout where all are gone.
	askedAtOnce    = 32
	defaultTimeout = time.Second
)

// Fleet asks the listed instances. It is safe for concurrent use.
type Fleet struct {
	list    func(ctx context.Context) ([]carawayspread.Instance, error)
	dial    func(address string) control.Control
	timeout time.Duration // bounds one call
}

// New returns a Fleet of the instances that list names.
func New(list func(context.Context) ([]carawayspread.Instance, error), dial func(address string) control.Control) *Fleet {
	return &Fleet{list: list, dial: dial, timeout: defaultTimeout}
}

// Status asks every listed instance for its state and whether it holds the
// version or a newer one. The question is a hint too: an instance that does not
// hold the version reads the log at once.
func (f *Fleet) Status(ctx context.Context, version carawayspread.Version) ([]adminapi.Instance, error) {
	listed, err := f.list(ctx)
	if err != nil {
		return nil, err
	}
	states := make([]adminapi.Instance, len(listed))
	slots := make(chan struct{}, askedAtOnce)
	var asking sync.WaitGroup
	for i, instance := range listed {
		slots <- struct{}{}
		asking.Go(func() {
			defer func() { <-slots }()
			states[i] = f.ask(ctx, instance, version)
		})
	}
	asking.Wait()
	return states, nil
}

func (f *Fleet) ask(ctx context.Context, instance carawayspread.Instance, version carawayspread.Version) adminapi.Instance {
	state := adminapi.Instance{
		ID: instance.ID, Role: instance.Role, State: instance.State,
		Region: instance.Region, Zone: instance.Zone,
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	answer, err := f.dial(instance.Control).Status(ctx, &control.StatusRequest{ConfigVersion: uint64(version)})
	switch {
	case err != nil:
		state.Reason = reason(ctx, err)
		return state
	case answer.GetInstance() != instance.ID:
		// The address was given to another process while the list lags; its
		// answer says nothing about the listed one.
		state.Reason = fmt.Sprintf("instance %s answers at its address", answer.GetInstance())
		return state
	}
	state.Answered = true
	state.Version = carawayspread.Version(answer.GetConfigVersion())
	state.Confirmed = state.Version >= version
	state.EvidenceAgeMs = answer.GetEvidenceAgeMs()
	state.Draining = answer.GetDraining()
	for _, e := range answer.GetEndpoints() {
		state.Endpoints = append(state.Endpoints, adminapi.Endpoint{
			ID: e.GetEndpoint(), Role: e.GetRole(), Running: e.GetRunning(), Waiting: e.GetWaiting(),
			Slots: e.GetSlots(), Draining: e.GetDraining(), Crashed: e.GetCrashed(),
		})
	}
	return state
}

// reason keeps addresses and ports out of answers: the instance is named.
func reason(ctx context.Context, err error) string {
	if ctx.Err() != nil {
		return "no answer in time"
	}
	if twerr, ok := err.(twirp.Error); ok && twerr.Code() != twirp.Internal {
		return string(twerr.Code())
	}
	return "not reachable"
}

// RolloutStatus tells whether every listed instance confirmed a version.
func (f *Fleet) RolloutStatus(ctx context.Context, version carawayspread.Version) adminapi.Force {
	states, err := f.Status(ctx, version)
	if err != nil {
		return adminapi.Force{Unlisted: "the instance list cannot be read"}
	}
	return SummarizeRollout(states)
}

// SummarizeRollout sums up the states of all listed instances.
func SummarizeRollout(states []adminapi.Instance) adminapi.Force {
	force := adminapi.Force{}
	for _, state := range states {
		if state.Confirmed {
			continue
		}
		unconfirmed := adminapi.Unconfirmed{Instance: state.ID, Version: state.Version, Reason: state.Reason}
		if state.Answered {
			unconfirmed.Reason = fmt.Sprintf("holds version %d", state.Version)
		}
		force.Unconfirmed = append(force.Unconfirmed, unconfirmed)
	}
	force.InForce = len(force.Unconfirmed) == 0
	return force
}

// Drain asks the sidecar of an instance, or that of an endpoint, to give no new
// work. Draining is idempotent; where the answer is lost, ask again.
func (f *Fleet) Drain(ctx context.Context, target adminapi.Drain, actor string) (adminapi.Drained, error) {
	listed, err := f.list(ctx)
	if err != nil {
		return adminapi.Drained{}, carawayspread.NewError(
			carawayspread.CodeStoreUnavailable, "the instance list cannot be read; nothing was drained",
			carawayspread.NotRun(), carawayspread.RetryAfter(defaultTimeout), carawayspread.CausedBy(err),
		)
	}
	instance, ok := find(listed, target)
	if !ok {
		return adminapi.Drained{}, carawayspread.NewError(
			carawayspread.CodeNotFound, "no listed instance has this instance or endpoint", carawayspread.NotRun(),
		)
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	answer, err := f.dial(instance.Control).Drain(ctx, &control.DrainRequest{Endpoint: target.Endpoint, Actor: actor})
	if err != nil {
		return adminapi.Drained{}, carawayspread.NewError(
			carawayspread.CodeUnknownOutcome, "instance "+instance.ID+" did not answer; a drain may be asked for again",
			carawayspread.RetryAfter(defaultTimeout), carawayspread.CausedBy(err),
		)
	}
	return adminapi.Drained{Instance: instance.ID, Endpoint: target.Endpoint, Running: answer.GetRunning()}, nil
}

func find(listed []carawayspread.Instance, target adminapi.Drain) (carawayspread.Instance, bool) {
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
