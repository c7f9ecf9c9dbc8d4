// Package confsync holds the configuration that a daemon serves under and keeps it current: it
// polls the configuration log, learns of newer versions from other daemons, and requests the
// changes from them if the log cannot be read.
//
// The held version never decreases. With it the Syncer keeps its confirmation: the last moment at
// which no version newer than the held one had been accepted. A process that was paused or cut off
// finds its confirmation too old and confirms the configuration again before it serves the next
// request.
package confsync
