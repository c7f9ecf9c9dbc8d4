// Package origin keeps at which build streams began, and decides where a stream may go on that its
// caller takes up again.
//
// Endpoints of several builds serve side by side while their software is replaced. What two builds write
// does not fit together, and endpoints do not check what they continue. A caller takes its stream up at
// any process, also when the one that served it is gone.
//
// Each process keeps the builds of the streams that it began. While only one build of a service has been
// listed for as long as a stream lasts, nothing else is needed: that build is the origin of every stream.
// Otherwise each stream is told to a few peers as it begins, and a process that does not know a stream
// asks them. A stream whose build nobody knows is refused: going on at any build would be a guess.
//
// A process that has just started knows no history. It asks its peers, which tell it either the build of
// the stream or that they have seen a single build for long enough.
package origin
