package admin

import (
	"encoding/json"
	"errors"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"carawayspread"
	"carawayspread/internal/connection/adminapi"
	"carawayspread/internal/version/changelog"
	"carawayspread/internal/version/document"
)

// maxDrainFindings bounds the findings of a request to drain, which has two fields.
const maxDrainFindings = 100

func readDrainRequest(r *http.Request) (adminapi.DrainRequest, error) {
	body, err := readBody(r)
	if err != nil {
		return adminapi.DrainRequest{}, err
	}
	root := document.Parse("", body).WithMaxFindings(maxDrainFindings).Object("instance", "endpoint")
	target := adminapi.DrainRequest{Instance: root.Field("instance").Text(), Endpoint: root.Field("endpoint").Text()}
	if err := root.Err(); err != nil {
		return adminapi.DrainRequest{}, malformed(err.Error())
	}
	if target == (adminapi.DrainRequest{}) {
		return adminapi.DrainRequest{}, malformed("needs an instance or an endpoint")
	}
	return target, nil
}

func touched(target adminapi.DrainRequest) []string {
	var touches []string
	if target.Instance != "" {
		touches = append(touches, "instance "+target.Instance)
	}
	if target.Endpoint != "" {
		touches = append(touches, "endpoint "+target.Endpoint)
	}
	return touches
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body) // fails only if the operator has disconnected
}

func refuseMethod(w http.ResponseWriter, served methods) {
	allowed := strings.Join(slices.Sorted(maps.Keys(served)), ", ")
	w.Header().Set("Allow", allowed)
	writeError(w, carawayspread.NewError(carawayspread.CodeMethod, "this path takes "+allowed, carawayspread.NotRun()))
}

func writeError(w http.ResponseWriter, err error) {
	typed, ok := carawayspread.AsError(err)
	if !ok {
		typed = carawayspread.NewError("internal_error", "the request failed; the log of this instance says why")
	}
	detail := adminapi.FaultDetail{Code: typed.Code(), Message: typed.Message(), NotRun: typed.NotRun()}
	var refusal *changelog.Refusal
	if errors.As(err, &refusal) {
		detail.Attempt = refusal.Attempt()
		detail.Current = refusal.Current()
		detail.Since = refusal.Since()
		detail.Findings = refusal.Findings()
	}
	if typed.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(typed.RetryAfter().Seconds()))))
	}
	writeJSON(w, typed.Code().Status(), adminapi.Fault{Error: detail})
}
