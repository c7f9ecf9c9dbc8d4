// Package measure compares the decision modules with the obvious ways, judged
// by what callers receive. All of it is in test files: small fakes of engines
// at the interface, fixed seeds, and a clock that only events advance. `make
// measure` prints the tables of docs/MEASUREMENTS.md.
package measure
