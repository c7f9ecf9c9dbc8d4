// Package eventorder judges whether the events of a stream follow one another where the stream goes on at
// another run: after a retry, after a move, or where its caller takes it up.
//
// The engine that goes on is asked to begin after the last event that the caller has. Whatever it sends
// instead, a stream with a gap, with events twice or of two runs must not reach the caller as one. The
// identifiers of events show it without knowing why the engine begins elsewhere.
//
// Identifiers increase. Where they rise by one from event to event, the next one is known as well: that is
// learned from what engines send without interruption, by service. An answer that no other run continues is
// its engine's own, and is not judged.
package eventorder
