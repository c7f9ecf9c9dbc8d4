package tableclient

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"carawayspread"
)

const keys = 3

// content is the value of a key; a revision of zero means that there is no item.
type content struct {
	rev   uint64
	token string
}

type contents [keys]content

// call is a read of one key, or writes with the revisions that they require.
type call struct {
	read   int
	token  string
	writes map[int]uint64 // nil for a read
}

// result is what the caller received.
type result struct {
	err  error
	seen content
}

// step is the sequential model of the table that callers may rely on. A call of unknown outcome may
// take effect or not, at any time: it never returns in the history.
func step(state, input, output any) (bool, any) {
	s, in, out := state.(contents), input.(call), output.(result)
	if in.writes == nil {
		return out.err != nil || s[in.read] == out.seen, s
	}
	next, holds := s, true
	for key, ifRev := range in.writes {
		holds = holds && s[key].rev == ifRev
		next[key] = content{rev: ifRev + 1, token: in.token}
	}
	switch {
	case out.err == nil:
		return holds, next
	case errors.Is(out.err, carawayspread.ErrCondition):
		return !holds, s
	case errors.Is(out.err, carawayspread.ErrUnavailable) || !holds:
		return true, s
	}
	return true, next
}

// Callers compete for three keys, with single writes and transactions, through all decorators. The
// store loses answers after the writes took effect, and callers cancel while their writes are in
// flight. All results together must be linearizable, where a failed condition or "not written" is
// true.
func TestLinearizableUnderLostAnswers(t *testing.T) {
	table, service := start(t)
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, in call, do func() result) result {
		op := porcupine.Operation{ClientId: client, Input: in, Call: int64(time.Since(began))}
		out := do()
		op.Output, op.Return = out, int64(time.Since(began))
		if in.writes != nil && unknown(out.err) {
			op.Return = math.MaxInt64
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, op)
		return out
	}
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(7, uint64(client)))
			for n := range 40 {
				writes := map[int]uint64{}
				for _, key := range random.Perm(keys)[:1+n%4/3] { // every fourth is a transaction
					current := record(client, call{read: key}, func() result { return read(table, key) })
					writes[key] = current.seen.rev
				}
				if random.IntN(4) == 0 {
					service.LoseAnswers(1)
				}
				ctx, cancel := context.WithCancel(context.Background())
				if random.IntN(10) == 0 {
					time.AfterFunc(time.Duration(random.IntN(6))*time.Millisecond, cancel)
				}
				in := call{token: fmt.Sprintf("%d/%d", client, n), writes: writes}
				record(client, in, func() result { return result{err: table.Apply(ctx, in.encode()...)} })
				cancel()
			}
		})
	}
	wg.Wait()
	model := porcupine.Model{Init: func() any { return contents{} }, Step: step}
	qt.Check(t, porcupine.CheckOperationsTimeout(model, history, 30*time.Second), qt.Equals, porcupine.Ok)
}

func unknown(err error) bool {
	return err != nil && !errors.Is(err, carawayspread.ErrCondition) && !errors.Is(err, carawayspread.ErrUnavailable)
}

func read(table carawayspread.Table, key int) result {
	item, err := table.Get(context.Background(), keyOf(key))
	if errors.Is(err, carawayspread.ErrNoItem) {
		err = nil
	}
	return result{err: err, seen: content{rev: item.Rev, token: item.Token}}
}

func keyOf(key int) carawayspread.Key {
	return carawayspread.Key{Partition: "p", Sort: fmt.Sprint(key)}
}

func (c call) encode() []carawayspread.Write {
	var writes []carawayspread.Write
	for key, ifRev := range c.writes {
		writes = append(writes, carawayspread.Write{Item: carawayspread.Item{Key: keyOf(key), Token: c.token}, IfRev: ifRev})
	}
	return writes
}
