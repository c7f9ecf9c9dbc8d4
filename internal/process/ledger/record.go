package ledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/process/entry"
)

// state is the progress of a request.
type state string

const (
	claimed state = "claimed"
	done    state = "done"
	notRun  state = "notRun"
	unknown state = "unknown"
)

// record is the body of an item.
type record struct {
	State    state         `json:"state"`
	Hash     uint64        `json:"hash"`               // fingerprint of the request that used the key
	Claimant string        `json:"claimant,omitempty"` // the instance that holds the claim
	Began    time.Time     `json:"began,omitzero"`     // start of a claim
	Deadline time.Time     `json:"deadline,omitzero"`  // end of a claim's validity
	Expires  time.Time     `json:"expires,omitzero"`   // when a record with an outcome may be replaced
	Answer   *entry.Stored `json:"answer,omitempty"`   // if it is short
	Object   string        `json:"object,omitempty"`   // name of the object that holds a long answer
}

func decode(item carawayspread.Item) (record, error) {
	var r record
	return r, trace.Wrap(json.Unmarshal(item.Body, &r))
}

// withExpiry returns the record with the time until which it is kept.
func (l *Ledger) withExpiry(r record) record {
	r.Expires = l.clock.Now().Add(l.retention)
	return r
}

// storeAnswer returns the record of a complete answer. A long answer is stored before the record,
// so that a record never names an object that does not exist.
func (l *Ledger) storeAnswer(ctx context.Context, c *Claim, answer entry.Stored) (record, error) {
	r := record{State: done, Hash: c.hash, Answer: &answer}
	if len(answer.Body) <= inlineLimit {
		return r, nil
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return record{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.Answer, r.Object = nil, "answers/"+uuid.NewString()
	return r, trace.Wrap(l.objects.Put(ctx, r.Object, body))
}

// loadAnswer returns the stored answer of a record in the state done.
func (l *Ledger) loadAnswer(ctx context.Context, r record) (*entry.Stored, error) {
	if r.Answer != nil {
		return r.Answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	body, err := l.objects.Get(ctx, r.Object)
	if err != nil {
		return nil, unavailable(err)
	}
	var stored entry.Stored
	if err := json.Unmarshal(body, &stored); err != nil {
		return nil, unavailable(err)
	}
	return &stored, nil
}

func (l *Ledger) get(ctx context.Context, key carawayspread.Key) (carawayspread.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return l.table.Get(ctx, key)
}

func (l *Ledger) put(ctx context.Context, key carawayspread.Key, rev uint64, token string, r record) error {
	body, err := json.Marshal(r)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item := carawayspread.Item{Key: key, Token: token, Body: body}
	return l.table.Apply(ctx, carawayspread.Write{Item: item, IfRev: rev})
}
