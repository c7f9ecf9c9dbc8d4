package openai

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"carawayspread"
)

type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message string             `json:"message"`
	Type    string             `json:"type"`
	Param   *string            `json:"param"`
	Code    carawayspread.Code `json:"code"`
	NotRun  bool               `json:"notRun"`
}

// newErrorBody returns the error object of the protocol.
func newErrorBody(e *carawayspread.Error) errorBody {
	kind := "invalid_request_error"
	if e.Code().Status() >= http.StatusInternalServerError {
		kind = "server_error"
	}
	return errorBody{Error: errorObject{Message: e.Message(), Type: kind, Code: e.Code(), NotRun: e.NotRun()}}
}

// WriteError sends the error object with its status, and Retry-After in whole seconds if a retry is
// useful.
func WriteError(w http.ResponseWriter, e *carawayspread.Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if e.RetryAfter() > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter().Seconds()))))
	}
	// The protocol's client libraries retry by themselves unless this header forbids it. Only a
	// request that certainly has not run may be retried.
	header.Set("X-Should-Retry", strconv.FormatBool(e.NotRun() && e.RetryAfter() > 0))
	w.WriteHeader(e.Code().Status())
	_ = json.NewEncoder(w).Encode(newErrorBody(e))
}

// ErrorEvent returns the event that ends the stream of an incomplete answer. No [DONE] follows it.
func ErrorEvent(e *carawayspread.Error) []byte {
	body, err := json.Marshal(newErrorBody(e))
	if err != nil {
		body = []byte(`{"error":{"code":"` + string(e.Code()) + `"}}`)
	}
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", body)
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// WriteModels sends the list of models.
func WriteModels(w http.ResponseWriter, names []string) {
	list := modelList{Object: "list", Data: make([]model, 0, len(names))}
	for _, name := range names {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "carawayspread"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
