package worker

import (
	"encoding/json"
	"fmt"
	"net"
)

// SetRole sets what the worker says of itself.
func (w *Worker) SetRole(role string, busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.role, w.busy = role, busy
}

// Orders returns the role and how many orders were accepted.
func (w *Worker) Orders() (role string, accepted int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.role, w.orders
}

// control answers a report or an order, and reports whether the connection stays.
func (w *Worker) control(conn net.Conn, s Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Method == "GET" {
		w.write(conn, "200 OK", fmt.Sprintf(`{"stage":%q,"busy":%t,"seq":%d,"queued":1,"active":2}`, w.role, w.busy, w.orders), "Content-Type: application/json")
		return true
	}
	var o struct {
		Op, Stage, Holder string
		Fence             uint64
		Expected          *int64 `json:"expected_rev"`
	}
	status := "202 Accepted"
	switch err := json.Unmarshal([]byte(s.Body), &o); {
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
