package worker

import (
	"encoding/json"
	"fmt"
	"net"
)

// SetRole sets the role and the busy flag that the worker reports. A busy worker refuses orders.
func (w *Worker) SetRole(role string, busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.role, w.busy = role, busy
}

// Orders returns the current role and the number of accepted orders.
func (w *Worker) Orders() (role string, accepted int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.role, w.orders
}

// control responds to a request for a report or to an order, and reports whether the connection
// stays open.
func (w *Worker) control(conn net.Conn, got Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if got.Method == "GET" {
		w.write(conn, "200 OK", fmt.Sprintf(`{"stage":%q,"busy":%t,"seq":%d,"queued":1,"active":2}`, w.role, w.busy, w.orders), "Content-Type: application/json")
		return true
	}
	var o struct {
		Op, Stage, Holder string
		Fence             uint64
		Expected          *int64 `json:"expected_rev"`
	}
	status := "202 Accepted"
	switch err := json.Unmarshal([]byte(got.Body), &o); {
	case err != nil || o.Op != "stage" || o.Holder == "" || o.Fence == 0:
		status = "400 Bad Request"
	case o.Fence < w.fence:
		status = "412 Precondition Failed"
	case w.busy || o.Expected != nil && *o.Expected != w.orders:
		status = "409 Conflict"
	case o.Stage == w.role:
		status = "200 OK"
	default:
		w.orders++
		w.role, w.fence = o.Stage, o.Fence
	}
	w.write(conn, status, "", "Carawayspread-Instance-Id: "+w.id)
	return true
}
