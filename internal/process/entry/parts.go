package entry

import (
	"context"

	"carawayspread"
	"carawayspread/internal/decision/suspectparts"
	"carawayspread/internal/request/call"
)

// PartExchange passes crashes under parts of prompts on to other entries.
type PartExchange interface {
	Crashed(crashes []carawayspread.PartCrash)
	Answered(parts []uint64)
}

type noExchange struct{}

func (noExchange) Crashed([]carawayspread.PartCrash) {}
func (noExchange) Answered([]uint64)                 {}

// WithPartExchange sets what passes crashes under parts of prompts on to other entries.
func WithPartExchange(x PartExchange) Option { return func(e *Entry) { e.exchange = x } }

// Parts returns what this entry knows of parts of prompts that crash endpoints.
func (e *Entry) Parts() *suspectparts.Parts { return e.parts }

// checkParts refuses a call with a part that crashes endpoints. It returns the part that the call tries,
// which the table allows to one call of the whole fleet; zero if there is none.
func (e *Entry) checkParts(ctx context.Context, c *call.Call) (trial uint64, refusal *carawayspread.Error) {
	decision := e.parts.Decide(c.Job().Parts)
	switch decision.Verdict {
	case suspectparts.VerdictRun:
		return 0, nil
	case suspectparts.VerdictTrial:
		if _, refusal := e.trials.Claim(ctx, decision.Part); refusal != nil {
			return 0, refusal
		}
		return decision.Part, nil
	}
	return 0, carawayspread.NewError(carawayspread.CodeQuarantined, "a part of the prompt crashed the endpoints that ran it",
		carawayspread.NotRun(), carawayspread.RetryAfter(decision.Left))
}

// partsCrashed records that the endpoint crashed while the call ran there.
func (e *Entry) partsCrashed(c *call.Call, id carawayspread.EndpointID, doubtful bool) {
	request := suspectparts.Request{Parts: c.Job().Parts, Witness: uint32(c.BodyHash())}
	if news := e.parts.Crashed(id, e.clock.Now(), doubtful, []suspectparts.Request{request}); len(news) > 0 {
		e.exchange.Crashed(news)
	}
	for _, explained := range e.parts.TakeExplained() {
		e.suspects.Explained(explained)
	}
}

// partsAnswered clears the parts of a call that was answered in full.
func (e *Entry) partsAnswered(c *call.Call) {
	if notify := e.parts.Answered(c.Job().Parts); len(notify) > 0 {
		e.exchange.Answered(notify)
	}
}
