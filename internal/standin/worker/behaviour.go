package worker

// Behaviour is how a worker handles one request.
type Behaviour int

// Behaviours. The zero value answers normally.
const (
	Answer             Behaviour = iota
	Refuse                       // a 503 that states that the request was not run
	Bare503                      // a signed 503 that does not state whether the request was run
	CloseWithoutAnswer           // runs the request and closes the connection without a response
	Truncate                     // closes the connection in the middle of an event or a body
	WrongRequestID               // the response has the id of another request
	Unsealed                     // a success without a signature (server seal)
	Error500                     // a signed failure of the worker itself
	Unframed                     // neither a length nor chunks: the answer ends when the connection closes
	UnframedShort                // as Unframed, but closes the connection in the middle of an event or a body
	UnframedReset                // as UnframedShort, but resets the connection
	ExtraAnswer                  // a second, unrequested response after the first
	Hang                         // sends nothing until the caller closes the connection
	Misdirected                  // a 421: another worker has the address
	Encoded                      // a body with a content encoding that was not requested
	LostHandle                   // the KV cache cannot be fetched; the request was not run
	SlowEvents                   // as Answer, with a delay before each event
	TruncateLate                 // as Truncate, but pauses before it closes the connection of a stream
	Crash                        // runs the request and closes all connections and the listener, as a process that ends
	CrashMidway                  // as Crash, after the first event of a stream
	DarkMidway                   // as CrashMidway, but says nothing: its connections stay open and nothing listens
	NoStatus                     // as Answer, with the status 000
	BlankInName                  // as Answer, in chunks that are announced by a name with a blank behind it
	// The following answer a second time where the answer to the next request on the connection is due.
	AnswerAgain           // as Answer
	RefuseAgain           // as Refuse
	RefuseAgainUnnamed    // as Refuse; the second answer names no request
	RejectAgainUnnamed    // as RefuseAgainUnnamed, with status 400
	MisdirectAgain        // as Misdirected, and states that the request was not run
	MisdirectAgainUnnamed // as MisdirectAgain; the second answer names no request
)

// refusals are the statuses of behaviours with which a worker does not run a request.
var refusals = map[Behaviour]string{
	Refuse: "503 Service Unavailable", LostHandle: "503 Service Unavailable", Misdirected: "421 Misdirected Request",
	RefuseAgain: "503 Service Unavailable", RefuseAgainUnnamed: "503 Service Unavailable", RejectAgainUnnamed: "400 Bad Request",
	MisdirectAgain: "421 Misdirected Request", MisdirectAgainUnnamed: "421 Misdirected Request",
}

// unnamedAgain are the behaviours whose second answer names no request.
var unnamedAgain = map[Behaviour]bool{RefuseAgainUnnamed: true, RejectAgainUnnamed: true, MisdirectAgainUnnamed: true}
