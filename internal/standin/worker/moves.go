package worker

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"
)

// MoveBehaviour is how a worker handles one call that copies a run to another worker.
type MoveBehaviour int

// Behaviours of a copy. The zero value copies.
const (
	MoveCopy       MoveBehaviour = iota
	MoveNoRoom                   // 503: the other worker has no room, though the run has stopped if it was to
	MoveBusy                     // 409: an earlier call is in progress
	MoveLostAnswer               // copies, and closes the connection without an answer
	MoveCrash                    // ends as a process does, in the middle of the copy
	MoveSlow                     // copies after SlowCopy
	MoveThenGone                 // copies, and the other worker ends before the answer
)

// SlowCopy is how long a copy of MoveSlow takes.
const SlowCopy = 700 * time.Millisecond

// byAddress are all workers that run. A copy needs the other worker, which real ones reach over their links.
var byAddress sync.Map

// lookUp returns the worker at an address; nil if there is none.
func lookUp(address string) *Worker {
	w, ok := byAddress.Load(address)
	if !ok {
		return nil
	}
	return w.(*Worker)
}

// ListenedAt says that callers and other workers know the worker by another address, that of a relay.
func (w *Worker) ListenedAt(address string) { byAddress.Store(address, w) }

// run is a request that a worker runs.
type run struct {
	events int
	stop   chan struct{} // closed to stop it
	ended  chan struct{}
}

// memory is what a worker holds of a request that runs elsewhere, or has stopped.
type memory struct {
	request string
	at      map[*Worker]bool // where the request may go on
	copyOf  *Worker          // that runs it, of a copy that is kept as it grows
}

// ScriptMoves sets the behaviours of the next calls that copy a run; after them the worker copies.
func (w *Worker) ScriptMoves(script ...MoveBehaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moveScript = script
}

// Moves returns how many calls came that copy a run, and how many of them stop it.
func (w *Worker) Moves() (all, stops int) {
	for _, got := range w.Requests() {
		if got.Target == movePath {
			all++
			if strings.Contains(got.Body, `"last":true`) {
				stops++
			}
		}
	}
	return all, stops
}

// Copies returns how many copies and memories of stopped runs the worker holds.
func (w *Worker) Copies() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.memories)
}

// Violations returns what no worker may be asked for: to go on from the memory of another request, or with a
// run that has not stopped.
func (w *Worker) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

const (
	movePath   = "/-/kv-move"
	handlePath = "/-/kv-handle/"
	jsonType   = "Content-Type: application/json"
)

func (w *Worker) beginRun(id string, events int) *run {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &run{events: events, stop: make(chan struct{}), ended: make(chan struct{})}
	w.runs[id] = r
	return r
}

func (w *Worker) isRunning(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id] != nil
}

func (w *Worker) endRun(id string, r *run) {
	close(r.ended)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[id] == r {
		delete(w.runs, id)
	}
}

// advance waits for the time of the next event, and reports whether the run goes on.
func (w *Worker) advance(r *run) bool {
	select {
	case <-r.stop:
		return false
	case <-time.After(w.pace()):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r.events++
	return true
}

// moveRun copies a run, and reports whether the connection stays open.
func (w *Worker) moveRun(conn *session, got Request) bool {
	var call struct {
		ID, To string
		Last   bool
	}
	w.mu.Lock()
	w.requests = append(w.requests, got)
	behaviour := MoveCopy
	if len(w.moveScript) > 0 {
		behaviour, w.moveScript = w.moveScript[0], w.moveScript[1:]
	}
	malformed := json.Unmarshal([]byte(got.Body), &call) != nil
	r := w.runs[call.ID]
	w.mu.Unlock()
	switch {
	case malformed:
		w.write(conn, "400 Bad Request", "", jsonType)
		return true
	case r == nil:
		w.write(conn, "404 Not Found", "", jsonType)
		return true
	case behaviour == MoveBusy:
		w.write(conn, "409 Conflict", "", jsonType)
		return true
	case behaviour == MoveCrash:
		w.Close()
		return false
	case behaviour == MoveSlow:
		time.Sleep(SlowCopy)
	}
	return w.copyRun(conn, r, call.ID, call.To, call.Last, behaviour)
}

func (w *Worker) copyRun(conn *session, r *run, id, to string, last bool, behaviour MoveBehaviour) bool {
	if last {
		close(r.stop)
		<-r.ended
	}
	handle := "m-" + id
	held := memory{request: id, at: map[*Worker]bool{}}
	if before, ok := w.take(handle); ok {
		held.at = maps.Clone(before.at)
	}
	if last {
		held.at[w] = true
	}
	other := lookUp(to)
	room := other != nil && behaviour != MoveNoRoom
	if room {
		held.at[other] = true
		other.hold(handle, held)
	}
	if len(held.at) > 0 {
		w.hold(handle, held)
	}
	if behaviour == MoveThenGone && other != nil {
		other.Close()
	}
	if behaviour == MoveLostAnswer {
		return false
	}
	w.mu.Lock()
	body := fmt.Sprintf(`{"kv_handle":%q,"create_rev":%d}`, handle, r.events)
	w.mu.Unlock()
	switch {
	case room:
		w.write(conn, "200 OK", body, jsonType)
	case last:
		w.write(conn, "503 Service Unavailable", body, jsonType)
	default:
		w.write(conn, "503 Service Unavailable", "", jsonType)
	}
	return true
}

func (w *Worker) hold(handle string, held memory) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.memories[handle] = held
}

// take drops a memory and returns it.
func (w *Worker) take(handle string) (memory, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held, ok := w.memories[handle]
	delete(w.memories, handle)
	return held, ok
}

// freeHandle frees a memory at all workers that hold it, and returns it.
func (w *Worker) freeHandle(handle string) (memory, bool) {
	held, ok := w.take(handle)
	for other := range held.at {
		other.take(handle)
	}
	return held, ok
}

// backUp copies a run to the worker that its request names, up to the event that is due.
func (w *Worker) backUp(got Request) {
	if other := lookUp(got.Header.Get("Carawayspread-Kv-Backup")); other != nil {
		other.hold(got.ID, memory{request: got.ID, at: map[*Worker]bool{other: true}, copyOf: w})
	}
}

// endBackup drops the copy of a run that has ended as it should.
func endBackup(got Request) {
	if other := lookUp(got.Header.Get("Carawayspread-Kv-Backup")); other != nil {
		other.take(got.ID)
	}
}

// continuesRun reports whether a request names the memory of a run, and not only of its prompt.
func continuesRun(got Request) bool {
	_, handle, _ := strings.Cut(got.Header.Get("Carawayspread-Kv-Source"), "/")
	return strings.HasPrefix(handle, "m-") || handle != "" && handle == got.ID
}

// mayGoOn reports whether the worker can go on with a request from the memory that it names.
func (w *Worker) mayGoOn(got Request) bool {
	address, handle, _ := strings.Cut(got.Header.Get("Carawayspread-Kv-Source"), "/")
	if !continuesRun(got) {
		return true // prefilled elsewhere
	}
	source := lookUp(address)
	if source == nil {
		return false
	}
	held, ok := source.freeHandle(handle)
	if !ok || !held.at[w] {
		return false
	}
	runsOn := held.copyOf != nil && held.copyOf.isRunning(got.ID)
	w.mu.Lock()
	defer w.mu.Unlock()
	if held.request != got.ID {
		w.violations = append(w.violations, got.ID+" goes on from the memory of "+held.request)
	}
	if !held.at[source] || runsOn {
		w.violations = append(w.violations, got.ID+" goes on though its run has not stopped")
	}
	return true
}

// ForgetMemories drops all that the worker holds of requests that run elsewhere, or have stopped.
func (w *Worker) ForgetMemories() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.memories)
}
