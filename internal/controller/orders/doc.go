// Package orders sends orders to one engine.
//
// A change takes an engine seconds, and the engine may crash during it or respond late or not at
// all. Two concurrent orders, or one order sent under two ids, leave an engine in a state that no
// plan has. Therefore one order runs at a time, the state is read back after an order without a
// response before another one follows, and an order is retried only under its original id. An order
// that would abort running requests waits until the sidecar has none.
//
// The authority to send orders is acquired in this sequence: the order guard, the settle wait, the
// lease and, if the engine checks fencing tokens, a first order that changes nothing but raises the
// engine's token.
package orders
