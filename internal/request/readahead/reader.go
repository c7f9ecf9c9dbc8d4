// Package readahead reads an endpoint's answer on while the caller that it is relayed to does not take it.
//
// A process that reads an answer only as fast as its caller holds up the endpoint. The endpoint cuts off an answer
// that stays unread for some seconds, so that a caller which stood still for a moment loses the rest, and the
// work is lost. What is read ahead counts towards the memory of this process, which is bounded for one answer
// and for all of them: a caller that stays behind is served at its own pace, and others are not affected.
package readahead

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Patience is how long a write to a caller may take before the answer is read ahead: far longer than a
	// write to a caller that reads, far shorter than the seconds after which endpoints cut off an answer.
	Patience = 200 * time.Millisecond
	// maxAnswerBytes bounds what is read ahead of one answer. It exceeds whole streams of usual length.
	maxAnswerBytes = 256 << 10
	chunkBytes     = 4 << 10
)

// Budget bounds the bytes that are read ahead of all answers of a process. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of that many bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// take reserves n bytes; false if they exceed the limit.
func (b *Budget) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Reader reads one answer. Its methods but those of the pump are called by one goroutine.
type Reader struct {
	source io.Reader
	budget *Budget
	timer  *time.Timer

	mu      sync.Mutex
	changed *sync.Cond // pumping, ahead or err has changed
	writing bool       // a write to the caller has not returned
	pumping bool       // the pump is the one that reads the source
	ahead   []byte     // read and not taken yet
	held    int64      // reserved for ahead
	err     error      // of the source, after ahead
}

// New returns a reader of the source.
func New(source io.Reader, budget *Budget) *Reader {
	r := &Reader{source: source, budget: budget}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// BeginWrite and EndWrite enclose a write to the caller, which may block.
func (r *Reader) BeginWrite() {
	r.mu.Lock()
	r.writing = true
	r.mu.Unlock()
	if r.timer == nil {
		r.timer = time.AfterFunc(Patience, r.pump)
		return
	}
	r.timer.Reset(Patience)
}

// EndWrite is described at BeginWrite.
func (r *Reader) EndWrite() {
	r.timer.Stop()
	r.mu.Lock()
	r.writing = false
	r.mu.Unlock()
}

// Read returns what was read ahead, or else reads the source.
func (r *Reader) Read(p []byte) (int, error) {
	r.mu.Lock()
	for r.pumping && len(r.ahead) == 0 {
		r.changed.Wait()
	}
	if len(r.ahead) > 0 {
		n := copy(p, r.ahead)
		r.ahead = r.ahead[n:]
		r.releaseIfTaken()
		r.mu.Unlock()
		return n, nil
	}
	err := r.err
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return r.source.Read(p)
}

// Close releases what was read ahead and not taken. It must be called once the source is closed, so that the pump
// ends.
func (r *Reader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.pumping {
		r.changed.Wait()
	}
	r.ahead = nil
	r.releaseIfTaken()
	return nil
}

// releaseIfTaken returns the reserved bytes once all of them were taken.
func (r *Reader) releaseIfTaken() {
	if len(r.ahead) == 0 && r.held > 0 {
		r.budget.used.Add(-r.held)
		r.held, r.ahead = 0, nil
	}
}

// pump reads the source until the write has returned, a bound is reached or the source ends.
func (r *Reader) pump() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pumping || r.err != nil {
		return
	}
	r.pumping = true
	for r.writing && r.err == nil && r.held+chunkBytes <= maxAnswerBytes && r.budget.take(chunkBytes) {
		r.readChunk()
	}
	r.pumping = false
	r.releaseIfTaken()
	r.changed.Broadcast()
}

// readChunk reads the source once, without the lock, into chunkBytes that are reserved.
func (r *Reader) readChunk() {
	r.mu.Unlock()
	chunk := make([]byte, chunkBytes)
	n, err := r.source.Read(chunk)
	r.mu.Lock()
	r.ahead = append(r.ahead, chunk[:n]...)
	r.held += int64(n)
	r.budget.used.Add(int64(n - chunkBytes))
	r.err = err
	r.changed.Broadcast()
}
