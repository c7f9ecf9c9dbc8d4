package entryd

import (
	"math/rand/v2"
	"time"

	"carawayspread"
	"carawayspread/internal/process/lane"

	// The modules that daemons run register themselves.
	_ "carawayspread/internal/process/fairqueue"
	_ "carawayspread/internal/process/gradient"
	_ "carawayspread/internal/process/hashrouter"
)

// decisions returns the modules of a service: what the registries fall back to.
func decisions(zone string, clock carawayspread.Clock) func(carawayspread.Service) lane.Modules {
	return func(carawayspread.Service) lane.Modules {
		env := func() carawayspread.Environment {
			return carawayspread.Environment{Clock: clock, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Zone: zone}
		}
		scheduler, _ := carawayspread.Schedulers.Get("")
		router, _ := carawayspread.Routers.Get("")
		limiter, _ := carawayspread.Limiters.Get("")
		return lane.Modules{
			Scheduler: scheduler(env()),
			Router:    router(env()),
			Ejector:   allowAll{},
			Budget:    allowAll{},
			Limiter:   func() carawayspread.Limiter { return limiter(env()) },
		}
	}
}

type allowAll struct{}

func (allowAll) SetEndpoints([]carawayspread.EndpointID)                                {}
func (allowAll) Observe(carawayspread.EndpointID, time.Duration, carawayspread.Outcome) {}
func (allowAll) Allowed(carawayspread.EndpointID) bool                                  { return true }
func (allowAll) Sent(carawayspread.EndpointID)                                          {}
func (allowAll) Succeeded()                                                             {}
func (allowAll) Allow() bool                                                            { return true }
