package callers

import "net/http"

// Reset resets the connection of a request whose handler is running, and then aborts the handler. Of
// an answer that ends with its connection, a reset is the only end that does not look complete.
func Reset(w http.ResponseWriter) {
	defer panic(http.ErrAbortHandler)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is closed with the handler
	}
	if tcp, ok := conn.(lingerer); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
