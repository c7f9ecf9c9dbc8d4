package carawayspread

// Document is what a process knows of one matter, as the platform wrote it.
type Document struct {
	Version uint64 // grows with each change; zero where nothing is known
	Body    []byte // read by the platform's translation alone
}

// Knowledge is what a process has learnt from the platform's store and can hand
// on to a peer.
type Knowledge struct {
	Routes Document
	List   Document // the endpoints
}
