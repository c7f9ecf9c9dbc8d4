package readback

import (
	"context"
	"errors"

	"carawayspread"
)

// state is what one read tells of a write that may have taken effect.
type state int

const (
	overwritten state = iota // cannot be told
	pending                  // not in effect at the time of the read
	written                  // took effect
	lost                     // has not and cannot take effect
)

// finding is the state of a whole Apply with the write that shows it.
type finding struct {
	state state
	index int
}

// inspect reads the keys until one shows the state of the whole.
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
		if s := judge(w, item); s != overwritten {
			return finding{state: s, index: i}, nil
		}
	}
	if onlyChecks { // changes nothing, so it can be asked again
		return finding{state: pending}, nil
	}
	return finding{state: overwritten}, nil
}

// judge compares a write with what is stored; an absent item has revision zero.
func judge(w carawayspread.Write, stored carawayspread.Item) state {
	if stored.Rev == w.IfRev {
		return pending
	}
	if w.Delete {
		return judgeDelete(w, stored)
	}
	if stored.Rev != w.IfRev+1 || w.Item.Token == "" {
		return overwritten
	}
	if stored.Token == w.Item.Token {
		return written
	}
	return lost
}

// judgeDelete knows that a key which shows a later revision was not deleted.
func judgeDelete(w carawayspread.Write, stored carawayspread.Item) state {
	if stored.Rev > w.IfRev {
		return lost
	}
	return overwritten
}
