package carawayspread

// Peer is another process of the fleet.
type Peer struct {
	ID      uint64 // random, chosen when the process starts
	Address string // IP address and port
}
