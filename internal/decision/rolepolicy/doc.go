// Package rolepolicy decides which engines of one service change between the roles prefill, decode
// and both.
//
// It is meant for a fixed fleet whose mix of work swings within minutes between long prompts with
// short answers and short prompts with long answers. Without a policy one phase queues while
// engines of the other idle; with a policy that follows the load at once, engines spend the swing
// changing roles.
//
// A change takes an engine out of service for seconds and moves its running work. It is made only
// when the work that it saves, within the time for which the mix is expected to last, exceeds that
// cost. The weight of this cost follows from the class targets alone; see tolerance. Parameters
// that are not derived from the targets are options, each with its reasons.
package rolepolicy
