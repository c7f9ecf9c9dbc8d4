package readback

import (
	"context"
	"errors"

	"carawayspread"
)

// state is what one read shows about a write that may have taken effect.
type state int

const (
	undetermined state = iota // the read does not show the outcome
	pending                   // had not taken effect at the time of the read
	written                   // took effect
	superseded                // has not taken effect and never will
)

// finding is the state of a whole Apply with the index of the write that shows it.
type finding struct {
	state state
	index int
}

// inspect reads the keys until one shows the state of the whole Apply.
func (t *Table) inspect(ctx context.Context, writes []carawayspread.Write) (finding, error) {
	onlyChecks := true
	for i, w := range writes {
		if w.CheckOnly {
			continue
		}
		onlyChecks = false
		item, err := t.Table.Get(ctx, w.Item.Key)
		if err != nil && !errors.Is(err, carawayspread.ErrNoItem) {
			return finding{}, err
		}
		if s := classify(w, item); s != undetermined {
			return finding{state: s, index: i}, nil
		}
	}
	if onlyChecks { // changes nothing, so it can be sent again
		return finding{state: pending}, nil
	}
	return finding{state: undetermined}, nil
}

// classify compares a write with the stored item; an absent item has revision zero.
func classify(w carawayspread.Write, stored carawayspread.Item) state {
	if stored.Rev == w.IfRev {
		return pending
	}
	if w.Delete {
		return classifyDelete(w, stored)
	}
	if stored.Rev != w.IfRev+1 || w.Item.Token == "" {
		return undetermined
	}
	if stored.Token == w.Item.Token {
		return written
	}
	return superseded
}

// classifyDelete uses that a key with a later revision was not deleted.
func classifyDelete(w carawayspread.Write, stored carawayspread.Item) state {
	if stored.Rev > w.IfRev {
		return superseded
	}
	return undetermined
}
