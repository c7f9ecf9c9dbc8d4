// Package fairqueue decides which jobs of one service are served, queued or refused.
//
// It is designed for many workspaces that share the slots of a fixed fleet, where some send a
// hundred times more than others, long register jobs arrive among short rulings, and more arrives
// than can be served for minutes at a time. In order of arrival, one busy workspace would delay all
// others, one register would delay every ruling behind it, and under overload every answer would be
// late, because each job waits behind work that is late already.
//
// Shares: start-time fair queueing over workspaces. Each workspace has a virtual time up to which
// it has been served. It advances by measured seconds of a slot, computed from tokens and measured
// rates, so a workspace pays for its work rather than for its number of requests or for a slow
// endpoint. A workspace that becomes backlogged again starts at the current virtual time less a
// credit of four mean jobs, so it cannot accumulate more unused share than that. A slot is never
// left free while a job waits.
//
// Order: among the workspaces within a window of the least-served one, the job whose latest send
// time comes first is sent first. The window is one mean job. Without a window, a ruling of one
// second would wait for its turn behind every other workspace; with a wide one, the many late jobs
// of a busy workspace would count as urgent and take capacity from the others.
//
// Bound: a queued job is sent or refused by its latest send time. While a workspace has a queued
// job, each other workspace can be served ahead of it by at most the window, the credit and two
// jobs: the one that it completed last and the one that takes it beyond the window.
//
// Refusal: a job is refused at once when the work ahead of it, at the measured drain rate, would
// make it too late. A job that becomes late while queued is refused at that moment. When the queue
// is full, the workspace whose queue extends furthest beyond its share loses its newest job. The
// Retry-After times of refused callers are spaced at the drain rate, with a random part.
//
// Without new measurements: measured rates decay with a time constant of 30 s. Without capacity
// reports the last capacity is kept; it is never estimated. An estimate based on fewer than eight
// recent answers refuses no job.
package fairqueue
