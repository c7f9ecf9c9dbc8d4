// Package measure compares the decision modules with common baselines by what
// callers receive. All of it is in test files: a discrete-event simulation with
// small fakes of engines at the interface, fixed seeds, and a clock that only
// events advance. `make measure` prints the tables of docs/MEASUREMENTS.md.
package measure
