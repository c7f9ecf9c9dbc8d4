package carawayspread

// Peer is another process of the fleet.
type Peer struct {
	ID      uint64 // drawn at its start
	Address string // IP number and port
}
