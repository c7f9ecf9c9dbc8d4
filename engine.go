package carawayspread

import "context"

// OrderKind names what an order asks of an engine.
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

// Order changes an engine. Orders come from the one sidecar that holds the
// lease on the engine.
type Order struct {
	ID    string    `json:"id"` // idempotent: an engine carries out an id once
	Kind  OrderKind `json:"kind"`
	Value string    `json:"value"` // the model, adapter, version, role or KV handle
	Fence uint64    `json:"fence"` // grows with every holder of the lease
}

// EngineState is what an engine says of itself.
type EngineState struct {
	Role     Role     `json:"role"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Fence    uint64   `json:"fence"` // the highest that it has seen; zero when it does not check
	LastID   string   `json:"lastId"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Slots    int      `json:"slots"`
	KVBytes  int64    `json:"kvBytes"`
	Changing bool     `json:"changing"`
	// Boot changes whenever the engine starts anew.
	Boot string `json:"boot"`
	// PrefillRate and DecodeRate are measured tokens a second.
	PrefillRate float64 `json:"prefillRate"`
	DecodeRate  float64 `json:"decodeRate"`
}

// Engine takes orders and tells its state.
type Engine interface {
	// Order carries out one order. An *Error with CodeStale says that the
	// engine checked the fence and refused.
	Order(ctx context.Context, order Order) (EngineState, error)
	// State reads the engine's own, lagging account of itself.
	State(ctx context.Context) (EngineState, error)
}
