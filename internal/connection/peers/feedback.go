package peers

import (
	"encoding/binary"

	"carawayspread"
)

const (
	// maxFeedback bounds the feedback entries of one message, which take a third of a packet.
	maxFeedback = 20
	// rateResolution is the resolution of a rate in a message, and maxRate is the largest rate;
	// both in requests per second.
	rateResolution = 1e-3
	maxRate        = 1_000_000
)

// EndpointFeedback is the feedback about an endpoint in an answer that the sender received.
type EndpointFeedback struct {
	Endpoint carawayspread.EndpointID
	Feedback carawayspread.Feedback
}

// BroadcastFeedback queues the feedback in an endpoint's answer for all peers. It does not block.
func (s *Socket) BroadcastFeedback(id carawayspread.EndpointID, f carawayspread.Feedback) {
	s.mu.Lock()
	s.feedback[id] = f
	s.mu.Unlock()
	s.wakeSender()
}

// takeFeedbackLocked removes and returns as much feedback as fits into one message; the rest is
// sent in the next messages.
func (s *Socket) takeFeedbackLocked() []EndpointFeedback {
	var taken []EndpointFeedback
	for id, f := range s.feedback {
		if len(taken) == maxFeedback {
			s.wakeSender()
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
	return binary.AppendUvarint(b, uint64(min(maxRate, f.Feedback.Rate)/rateResolution))
}

func (r *reader) feedback() EndpointFeedback {
	return EndpointFeedback{
		Endpoint: carawayspread.EndpointID(r.text()),
		Feedback: carawayspread.Feedback{Limited: r.flag(), Draining: r.flag(), Rate: float64(r.count(maxRate/rateResolution)) * rateResolution},
	}
}
