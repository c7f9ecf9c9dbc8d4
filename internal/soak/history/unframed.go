package history

import (
	"strings"

	"carawayspread/internal/standin/caller"
)

// ownBody reports whether the body is that of an execution. Only an answer whose end nothing marks may
// lack the end that the worker did not send either.
func ownBody(a answer, r request) bool {
	whole := r.worker + " answers " + a.ID
	return a.Body == whole || a.Unframed && r.Short && strings.HasPrefix(whole, a.Body)
}

// checkProof: a caller isn't told that an answer is complete whose worker didn't say so.
func checkProof(a answer, executions []request) []string {
	if a.Status != 200 || a.Err != nil || a.Unframed || len(executions) == 0 {
		return nil
	}
	last := executions[0]
	for _, r := range executions {
		// The seal says who answered; a stream that goes on elsewhere keeps that of its first worker.
		if answered := strings.HasPrefix(a.Seal, r.worker+"."); answered && a.Kind != caller.Stream || a.Kind == caller.Stream && r.At.After(last.At) {
			last = r
		}
	}
	if !last.Unframed {
		return nil
	}
	return finding("%s was told that its answer is complete, of which %s had not marked the end", a.ID, last.worker)
}

// checkUnframed: an answer that a worker gave in full, without a length or chunks, reaches its caller.
func (h *History) checkUnframed(a answer, executions []request) []string {
	if len(executions) != 1 || !executions[0].Unframed || executions[0].Short || a.Status == 200 && a.Err == nil {
		return nil
	}
	if !a.Connected() {
		return nil // its caller sent the request to another process then, under the same identifier
	}
	target := Target(executions[0].worker)
	if h.overlaps(target, a.SentAt, a.EndedAt) || h.overlaps(Target(a.process), a.SentAt, a.EndedAt) {
		return nil
	}
	return finding("%s did not get the answer that %s gave in full: %d, %v", a.ID, target, a.Status, a.Err)
}
