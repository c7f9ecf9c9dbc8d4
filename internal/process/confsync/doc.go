// Package confsync holds the configuration that a daemon serves under and keeps
// it current: it polls the configuration log, hears of newer versions from
// other daemons, and asks them for the changes where the log cannot be read.
//
// The held version only grows. Beside it the Syncer keeps its evidence: the last
// moment at which no newer version than the held one had been accepted. A
// process that was paused or cut off finds its evidence too old and proves the
// configuration current again before it serves the next request.
package confsync
