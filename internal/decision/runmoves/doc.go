// Package runmoves decides which running requests move off an engine that leaves or is too slow for them, in
// which order, and when each of them is stopped there to go on elsewhere.
//
// An engine says that it leaves seconds before it ends. A hundred answers run there, some of which last
// longer; their callers lose what they have, and routes that allow one attempt lose the whole request. The
// runs belong to many processes, none of which knows the runs of the others, while the link of the engine
// carries one copy after another, and the rest of the fleet is as full as before and loses an engine.
//
// Each process moves its own runs, one at a time from each engine: what waits at the link is then bounded by
// the number of processes and of runs. A run goes on while its memory is copied. It is stopped only after a
// copy that waited no longer at the link than its caller tolerates between two events, or when little time is
// left. Where the copy finds no room, or the notice does not suffice, the run stays.
//
// An engine may also turn out slow, and long answers end at their time limits there that others would complete.
// What its events have shown decides, after some of them, and an engine that is expected to be clearly faster.
//
// A process that starts knows no runs: those of the one before it ended with their connections.
package runmoves
