package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"carawayspread"
)

// lostEventInterval is the interval, in events, at which a cache event is lost: engines publish cache
// events with gaps.
const lostEventInterval = 7

// kvBytesPerRequest is the KV cache size of a running request, in bytes.
const kvBytesPerRequest = 1 << 20

type cacheEvent struct {
	Sequence int    `json:"sequence"`
	Kind     string `json:"kind"` // stored or evicted
	Value    string `json:"value"`
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	models := []model{}
	for _, name := range e.snapshot().Models {
		models = append(models, model{ID: name, Object: "model"})
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": models})
}

func (e *Engine) showState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.snapshot())
}

func (e *Engine) snapshot() carawayspread.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Running = len(e.slots)
	state.Waiting = int(e.waiting.Load())
	state.Slots = cap(e.slots)
	state.KVBytes = int64(len(e.slots)) * kvBytesPerRequest
	state.PrefillRate = float64(e.prefillRate)
	if e.tokenEvery > 0 {
		state.DecodeRate = float64(time.Second) / float64(e.tokenEvery) * float64(cap(e.slots))
	}
	state.Models = slices.Clone(e.state.Models)
	state.Adapters = slices.Clone(e.state.Adapters)
	return state
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order carawayspread.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.ID == "" {
		writeJSON(w, http.StatusBadRequest, map[string]string{"code": "malformed"})
		return
	}
	if !e.accept(order) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]string{"code": string(carawayspread.CodeStale)})
		return
	}
	if order.Kind == carawayspread.OrderSetRole {
		sleep(e.currentBoot(), e.roleChange)
		if e.roleChangeEnds != nil {
			select {
			case <-e.roleChangeEnds:
			case <-e.currentBoot().Done():
			}
		}
		e.finishRoleChange()
	}
	writeJSON(w, http.StatusOK, e.snapshot())
}

// accept executes the order, once for each id, and reports whether it was accepted. An engine that
// checks fencing tokens refuses an order with an outdated one.
func (e *Engine) accept(order carawayspread.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFence && order.Fence < e.state.Fence {
		return false
	}
	if e.checksFence {
		e.state.Fence = order.Fence
	}
	if e.executed[order.ID] {
		return true
	}
	e.executed[order.ID] = true
	e.orders = append(e.orders, order)
	e.state.LastID = order.ID
	e.apply(order)
	return true
}

func (e *Engine) apply(order carawayspread.Order) {
	switch order.Kind {
	case carawayspread.OrderLoadModel:
		e.state.Models = appendNew(e.state.Models, order.Value)
	case carawayspread.OrderLoadAdapter:
		e.state.Adapters = appendNew(e.state.Adapters, order.Value)
	case carawayspread.OrderSetVersion:
		e.state.Version = order.Value
	case carawayspread.OrderSetRole:
		e.state.Role = carawayspread.Role(order.Value)
		e.state.Changing = true
	case carawayspread.OrderExportKV:
		e.events = append(e.events, cacheEvent{Sequence: len(e.events), Kind: "evicted", Value: order.Value})
	case carawayspread.OrderImportKV:
		e.events = append(e.events, cacheEvent{Sequence: len(e.events), Kind: "stored", Value: order.Value})
	}
}

func appendNew(list []string, value string) []string {
	if slices.Contains(list, value) {
		return list
	}
	return append(slices.Clone(list), value)
}

func (e *Engine) finishRoleChange() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Changing = false
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cancel, running := e.cancels[r.PathValue("id")]
	if running {
		cancel()
	}
	writeJSON(w, http.StatusOK, map[string]bool{"cancelled": running})
}

func (e *Engine) showEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := []cacheEvent{}
	for _, event := range e.events[min(after, len(e.events)):] {
		if event.Sequence%lostEventInterval != lostEventInterval-1 {
			seen = append(seen, event)
		}
	}
	writeJSON(w, http.StatusOK, seen)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
