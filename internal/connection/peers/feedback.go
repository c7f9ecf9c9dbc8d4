package peers

import (
	"encoding/binary"

	"carawayspread"
)

const (
	// mostFeedback bounds the feedback of one message, a third of a packet.
	mostFeedback = 20
	// rateUnit is the resolution of a rate in a message, and mostRate bounds it; both in
	// requests a second.
	rateUnit = 1e-3
	mostRate = 1_000_000
)

// EndpointFeedback is what an answer to the sender says of its endpoint.
type EndpointFeedback struct {
	Endpoint carawayspread.EndpointID
	Feedback carawayspread.Feedback
}

// BroadcastFeedback queues what an answer says of its endpoint for all peers. It does not
// block.
func (s *Socket) BroadcastFeedback(id carawayspread.EndpointID, f carawayspread.Feedback) {
	s.mu.Lock()
	s.feedback[id] = f
	s.mu.Unlock()
	s.rouse()
}

// takeFeedbackLocked removes and returns what fits into one message; what is left is
// sent after it.
func (s *Socket) takeFeedbackLocked() []EndpointFeedback {
	var taken []EndpointFeedback
	for id, f := range s.feedback {
		if len(taken) == mostFeedback {
			s.rouse()
			break
		}
		taken = append(taken, EndpointFeedback{id, f})
		delete(s.feedback, id)
	}
	return taken
}

func appendFeedback(b []byte, f EndpointFeedback) []byte {
	b = appendText(b, string(f.Endpoint))
	b = append(b, flag(f.Feedback.Limited), flag(f.Feedback.Draining))
	return binary.AppendUvarint(b, uint64(min(mostRate, f.Feedback.Rate)/rateUnit))
}

func (r *reader) feedback() EndpointFeedback {
	return EndpointFeedback{
		Endpoint: carawayspread.EndpointID(r.text()),
		Feedback: carawayspread.Feedback{Limited: r.flag(), Draining: r.flag(), Rate: float64(r.count(mostRate/rateUnit)) * rateUnit},
	}
}
