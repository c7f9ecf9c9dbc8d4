package entryd

import (
	"math/rand/v2"

	"carawayspread"
	"carawayspread/internal/process/dispatcher"

	"carawayspread/internal/decision/retrybudget"

	// The modules that daemons run register themselves.
	_ "carawayspread/internal/decision/ejection"
	_ "carawayspread/internal/decision/fairqueue"
	_ "carawayspread/internal/decision/gradient"
	_ "carawayspread/internal/decision/hashrouter"
)

// decisions returns the modules of a service: what the registries fall back to.
func decisions(zone string, clock carawayspread.Clock) func(carawayspread.Service) dispatcher.Modules {
	return func(carawayspread.Service) dispatcher.Modules {
		env := func() carawayspread.Environment {
			return carawayspread.Environment{Clock: clock, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Zone: zone}
		}
		scheduler, _ := carawayspread.Schedulers.Get("")
		router, _ := carawayspread.Routers.Get("")
		limiter, _ := carawayspread.Limiters.Get("")
		ejector, _ := carawayspread.Ejectors.Get("")
		return dispatcher.Modules{
			Scheduler: scheduler(env()),
			Router:    router(env()),
			Ejector:   ejector(env()),
			Budget:    retrybudget.New(clock),
			Limiter:   func() carawayspread.Limiter { return limiter(env()) },
		}
	}
}
