package origin

import (
	"maps"
	"slices"
	"time"

	"carawayspread"
)

// Record is what the platform's table keeps of one service: which builds are listed, and since when no other
// was. It outlives all processes. Without it, those that start after all were lost cannot tell the only build
// that there was from the only one that is left.
type Record struct {
	Builds    []carawayspread.BuildID `json:"builds"`    // ascending; zero stands for an unknown one
	SinceMs   int64                   `json:"sinceMs"`   // clock of the table
	LongestMs int64                   `json:"longestMs"` // the longest lifetime of a stream that began
	// Generation is that of the table when this was written. A table that was restored from a backup since may
	// lack later records.
	Generation uint64 `json:"generation"`
}

func (r Record) since() time.Duration { return time.Duration(r.SinceMs) * time.Millisecond }

func (r Record) longest() time.Duration { return time.Duration(r.LongestMs) * time.Millisecond }

// Reading is what is known of the table when its records were read.
type Reading struct {
	Earliest, Latest time.Duration // between them lies the table's clock
	Generation       uint64
	// First says that the system starts for the first time and that there are no records, which a process that
	// was restarted with the settings of the first start would find.
	First bool
}

// lost reports whether records may have been lost since the record was written.
func (r Reading) lost(kept Record) bool { return r.Generation > 1 && r.Generation != kept.Generation }

// Changes counts the changes of what records hold.
func (o *Origins) Changes() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changes
}

// Review takes over what the records say of the time before this process, and returns those that must be
// written, by service. While the list of endpoints is too old to rely on, it does nothing.
func (o *Origins) Review(kept map[string]Record, r Reading) (write map[string]Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.listAge() > maxListAge {
		return nil
	}
	if r.First {
		o.beginFirst()
	}
	write = map[string]Record{}
	for service, b := range o.services {
		record, ok := kept[service]
		if ok && r.lost(record) {
			ok = false
		}
		if ok {
			o.longest[service] = max(o.longest[service], record.longest())
		}
		if next, changed := o.next(b, record, ok, r); changed || ok && o.longest[service] > record.longest() {
			next.LongestMs = o.longest[service].Milliseconds()
			next.Generation = r.Generation
			write[service] = next
		}
	}
	o.restored = true
	return write
}

// beginFirst notes that no stream began before this process.
func (o *Origins) beginFirst() {
	if o.first {
		return
	}
	o.first = true
	o.knownSince = o.knownSince.Add(-retention)
	for _, b := range o.services {
		if !b.changed {
			b.since = o.knownSince
		}
	}
}

// next returns what the table must say of the builds, and whether that differs from what it says.
func (o *Origins) next(b *builds, kept Record, ok bool, r Reading) (next Record, changed bool) {
	now := o.clock.Now()
	since := r.Latest - now.Sub(b.since)
	if ok && slices.Equal(kept.Builds, b.ids()) && (!b.changed || kept.since() >= since-maxListAge) {
		if !b.changed {
			b.since = now.Add(kept.since() + maxListAge - r.Earliest) // it was written that much too early at most
		}
		return kept, false
	}
	if ok && kept.since() > r.Earliest-o.listAge() {
		return kept, false // written by a process with a newer list
	}
	return Record{Builds: b.ids(), SinceMs: since.Milliseconds() + 1}, true
}

// ids returns the builds in ascending order.
func (b *builds) ids() []carawayspread.BuildID { return slices.Sorted(maps.Keys(b.listed)) }
