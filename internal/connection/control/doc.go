// Package control is the protocol between the daemons: Twirp calls and the
// load reports that travel as datagrams.
package control
