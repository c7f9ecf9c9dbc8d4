package intake

// Shares of the memory that a process is granted. The garbage collector keeps what the process itself allocates below
// memoryLimitShare, in which connections, requests and what is held of answers have their shares; the rest of it is
// for everything else. What the kernel has received is not part of it.
const (
	// MemoryLimitShare is the soft limit of the garbage collector.
	MemoryLimitShare = 0.7
	connectionShare  = 0.1
	requestShare     = 0.25
	receivedShare    = 0.2
	// descriptorShare is the share of the descriptors that connections of callers may take. A request that runs
	// takes another one, and idle connections to endpoints the rest.
	descriptorShare = 0.5
	// connectionBytes is the memory of a connection without its request: two buffers of net/http, a stack.
	connectionBytes = 16 << 10
	// auxiliaryShare is the share of the connections that a listener for other processes of the fleet and for
	// operators may have beside those of callers.
	auxiliaryShare = 1.0 / 16
	minAuxiliary   = 16
	// The kernel reserves twice the size that is set for a receive buffer, and may fill all of it.
	kernelFactor     = 2
	minReceiveBuffer = 4 << 10
	maxReceiveBuffer = 64 << 10
	growthFactor     = 1.5
)

// Shares says how the memory and the descriptors of a process are divided.
type Shares struct {
	Connections   int   // of callers
	Auxiliary     int   // connections of each other listener
	RequestBytes  int64 // of all requests that arrive, wait or run
	ReceiveBuffer int   // bytes, of each connection
}

// LargestBody returns the largest body, in bytes, that is taken while nothing else occupies memory: while it grows, its
// old buffer is held as well.
func (s Shares) LargestBody() int64 {
	return int64(largeShare * float64(s.RequestBytes) / growthFactor)
}

// Divide divides the memory, in bytes, and the descriptors of a process; zero descriptors are not considered.
func Divide(memory, descriptors int64) Shares {
	connections := int64(connectionShare * float64(memory) / connectionBytes)
	if descriptors > 0 {
		connections = min(connections, int64(descriptorShare*float64(descriptors)))
	}
	connections = max(1, connections)
	return Shares{
		Connections:   int(connections),
		Auxiliary:     max(minAuxiliary, int(auxiliaryShare*float64(connections))),
		RequestBytes:  int64(requestShare * float64(memory)),
		ReceiveBuffer: min(maxReceiveBuffer, max(minReceiveBuffer, int(receivedShare*float64(memory)/float64(connections)/kernelFactor))),
	}
}
