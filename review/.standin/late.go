package main

import "time"

// lateAnswers begin after two seconds, as at a worker with a queue, and go on with an event each 280 ms, within the
// pause of 300 ms that the sheet allows.
var lateAnswers = drainLoad{
	bytes: 6000, after: 3300 * time.Millisecond, first: 2000 * time.Millisecond, gap: 280 * time.Millisecond,
}

func init() {
	cases["late"] = func(dir string, trouble bool) { drainCase(dir, trouble, lateAnswers) }
}
