package entryd

import (
	"math/rand/v2"

	"carawayspread"
	"carawayspread/internal/process/dispatcher"

	"carawayspread/internal/decision/retrybudget"

	// The decision modules register themselves.
	_ "carawayspread/internal/decision/ejection"
	_ "carawayspread/internal/decision/fairqueue"
	_ "carawayspread/internal/decision/gradient"
	_ "carawayspread/internal/decision/hashrouter"
)

// moduleFactory returns a function that creates the decision modules of a service: the defaults of
// the registries.
func moduleFactory(zone string, clock carawayspread.Clock, reserve *retrybudget.Reserve) func(carawayspread.Service) dispatcher.Modules {
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
			Budget:    reserve.Budget(clock),
			Limiter:   func() carawayspread.Limiter { return limiter(env()) },
		}
	}
}
