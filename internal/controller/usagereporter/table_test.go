package usagereporter

import (
	"context"
	"maps"
	"sync"
	"time"

	"carawayspread"
)

// memoryTable is an in-memory table that several processes share.
type memoryTable struct {
	mu          sync.Mutex
	items       map[carawayspread.Key]carawayspread.Item
	down        bool
	silent      bool   // answers nobody, until the callers' time is over
	silentTo    string // answers all but that process
	loseReplies int    // writes to apply and then fail
	// generation counts how often the table was restored from an older copy.
	generation uint64
}

// Generation implements carawayspread.Restorable.
func (m *memoryTable) Generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

// snapshot returns a function that restores the current contents.
func (m *memoryTable) snapshot() (restore func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := maps.Clone(m.items)
	return func() {
		m.set(func() { m.items, m.generation = maps.Clone(items), m.generation+1 })
	}
}

func (m *memoryTable) Get(_ context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	time.Sleep(4 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return carawayspread.Item{}, errDown
	}
	item, ok := m.items[key]
	if !ok {
		return item, carawayspread.ErrNoItem
	}
	return item, nil
}

func (m *memoryTable) Query(context.Context, string, string, int) ([]carawayspread.Item, error) {
	return nil, errDown
}

func (m *memoryTable) Apply(_ context.Context, writes ...carawayspread.Write) error {
	time.Sleep(4 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return errDown
	}
	for _, w := range writes {
		if m.items[w.Item.Key].Rev != w.IfRev {
			return &carawayspread.ConditionError{Failed: []int{0}}
		}
	}
	for _, w := range writes {
		if !w.CheckOnly {
			w.Item.Rev = w.IfRev + 1
			m.items[w.Item.Key] = w.Item
		}
	}
	if m.loseReplies > 0 {
		m.loseReplies--
		return errDown
	}
	return nil
}

func (m *memoryTable) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// processTable is the table as seen by one process.
type processTable struct {
	*memoryTable
	p *process
}

// waitInSilence returns an error after the time of the call if the table is silent.
func (t processTable) waitInSilence(ctx context.Context) error {
	t.p.waitUntilResumed()
	t.mu.Lock()
	silent := t.silent || t.silentTo == t.p.name
	t.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (t processTable) Get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	if err := t.waitInSilence(ctx); err != nil {
		return carawayspread.Item{}, err
	}
	return t.memoryTable.Get(ctx, key)
}

func (t processTable) Apply(ctx context.Context, writes ...carawayspread.Write) error {
	if err := t.waitInSilence(ctx); err != nil {
		return err
	}
	return t.memoryTable.Apply(ctx, writes...)
}
