package carawayspread

import (
	"context"
	"hash/fnv"
	"io"
	"time"
)

// StreamID identifies a stream by the attempt of its caller that brought its first event.
type StreamID uint64

// NewStreamID returns the identifier of the stream that began with the attempt.
func NewStreamID(attempt string) StreamID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, attempt)
	return StreamID(h.Sum64())
}

// StreamOrigin is the build at which a stream began.
type StreamOrigin struct {
	Stream StreamID
	Build  BuildID
}

// OriginAnswer is what a process knows of the origin of a stream.
type OriginAnswer struct {
	// Build is the build at which the stream began; zero if it is not known.
	Build BuildID
	// Sole is the only build of its service that the process has seen for as long as a stream lasts;
	// zero if there is none.
	Sole BuildID
	// Several says that the process lists more than one build of the service.
	Several bool
}

// Join returns what two processes know together.
func (a OriginAnswer) Join(b OriginAnswer) OriginAnswer {
	joined := OriginAnswer{Build: a.Build, Sole: a.Sole, Several: a.Several || b.Several}
	if joined.Build == 0 {
		joined.Build = b.Build
	}
	if joined.Sole == 0 {
		joined.Sole = b.Sole
	}
	if b.Sole != 0 && b.Sole != joined.Sole {
		joined.Several = true
	}
	return joined
}

// PeerOrigins exchanges the origins of streams with peers.
type PeerOrigins interface {
	// TellOrigins tells peers where streams began, without waiting.
	TellOrigins(origins []StreamOrigin)
	// FindOrigin asks peers at which build a stream of the service began. lifetime is how long a stream
	// may last, with all tries of its caller.
	FindOrigin(ctx context.Context, id StreamID, service string, lifetime time.Duration) OriginAnswer
}
