package carawayspread

import "context"

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "loadModel"
	OrderLoadAdapter OrderKind = "loadAdapter"
	OrderSetVersion  OrderKind = "setVersion"
	OrderSetRole     OrderKind = "setRole"
	OrderExportKV    OrderKind = "exportKV"
	OrderImportKV    OrderKind = "importKV"
)

// Order is a command that changes an engine. Orders come only from the sidecar that holds the lease
// on the engine.
type Order struct {
	ID    string    `json:"id"` // idempotency key: an engine executes an order with this id once
	Kind  OrderKind `json:"kind"`
	Value string    `json:"value"` // the model, adapter, version, role or KV handle
	Fence uint64    `json:"fence"` // fencing token; grows with every holder of the lease
}

// EngineState is the state that an engine reports of itself.
type EngineState struct {
	Role     Role     `json:"role"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Fence    uint64   `json:"fence"` // highest fencing token seen; zero if the engine checks none
	LastID   string   `json:"lastId"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Slots    int      `json:"slots"`
	KVBytes  int64    `json:"kvBytes"`
	Changing bool     `json:"changing"`
	// Boot changes with each start of the engine.
	Boot string `json:"boot"`
	// PrefillRate and DecodeRate are measured tokens per second.
	PrefillRate float64 `json:"prefillRate"`
	DecodeRate  float64 `json:"decodeRate"`
}

// Engine executes orders and reports its state.
type Engine interface {
	// Order executes one order. An *Error with CodeStale says that the engine rejected its
	// fencing token as outdated.
	Order(ctx context.Context, order Order) (EngineState, error)
	// State reads the state that the engine reports, which may lag behind.
	State(ctx context.Context) (EngineState, error)
}
