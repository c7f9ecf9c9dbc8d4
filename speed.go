package carawayspread

// EngineSpeed is evidence of how fast one engine works, as processes exchange it. Ratios are natural
// logarithms of a measured time over the nominal one: zero is nominal, larger is slower.
type EngineSpeed struct {
	// Engine is a hash of the engine's identifier, start and role: what is known of an engine ends when
	// one of them changes.
	Engine   uint32
	Endpoint EndpointID // of the engine; empty if a peer sent the evidence
	// Prefill and Step are evidence of the engine's lasting speed, of prefills and of decode steps.
	Prefill, Step SpeedShare
	// Passing is how much slower than usual the engine works at the moment.
	Passing PassingSlowness
}

// SpeedShare is the part of some evidence that its holder hands over. The holder keeps the rest, so that
// no evidence counts twice.
type SpeedShare struct {
	Ratio  float64 // mean over the evidence
	Weight float64 // in measurements; it falls with their age; zero for none
}

// PassingSlowness is the newest evidence that an engine works slower than usual.
type PassingSlowness struct {
	Ratio  float64 // relative to the lasting speed; not negative
	Weight float64 // in measurements; it falls with their age; zero for none
}

// SpeedTracker keeps evidence of the speed of engines.
type SpeedTracker interface {
	// SpeedShares hands over shares of the evidence of up to n engines, in turns.
	SpeedShares(n int) []EngineSpeed
	// SpeedNews returns passing slowness that peers may not know of up to n engines. It hands over no
	// evidence of lasting speed.
	SpeedNews(n int) []EngineSpeed
	// LearnSpeeds adds the evidence that a peer has handed over, one of so many processes that share it.
	LearnSpeeds(speeds []EngineSpeed, processes int)
}
