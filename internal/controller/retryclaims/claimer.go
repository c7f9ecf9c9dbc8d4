// Package retryclaims claims retries for one process out of what the fleet shares in the platform's table.
package retryclaims

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"carawayspread"
	"carawayspread/internal/decision/slackclaims"
	"carawayspread/internal/process/decisionlog"
)

const (
	partition = "retries"
	// callTimeout bounds a claim, for which a request waits.
	callTimeout = 200 * time.Millisecond
	// maxAttempts bounds the attempts of a claim that conflicts with those of other processes.
	maxAttempts = 3
	// pause is the time for which a process claims nothing after a claim that got nothing, and pausePerProcess
	// what it is at least for each process of the fleet, so that all together call the table 20 times a second.
	pause           = 500 * time.Millisecond
	pausePerProcess = 50 * time.Millisecond
)

// StoreTime bounds the clock of the table.
type StoreTime interface {
	// Now returns the largest value that the clock may show; false if it is not known.
	Now() (time.Duration, bool)
}

// errNoStoreTime means that the clock of the table is not known yet.
var errNoStoreTime = errors.New("the clock of the table is not known")

// Claimer claims retries of all services. It is safe for concurrent use.
type Claimer struct {
	table     carawayspread.Table
	storeTime StoreTime
	clock     carawayspread.Clock
	log       *decisionlog.Log
	limit     float64 // retries of all processes within a window
	window    time.Duration
	fleetSize func() int

	mu       sync.Mutex
	services map[string]*service
}

// service is what this process has claimed for one service.
type service struct {
	turn    chan struct{} // held during a claim
	retries int           // not spent yet
	until   time.Time     // when they are lost
	notTill time.Time     // when the next claim may be made
}

// New returns a claimer of so many retries of all processes, in any window, for each service.
func New(table carawayspread.Table, storeTime StoreTime, clock carawayspread.Clock, log *decisionlog.Log, limit float64, window time.Duration, fleetSize func() int) *Claimer {
	return &Claimer{
		table: table, storeTime: storeTime, clock: clock, log: log, limit: limit, window: window, fleetSize: fleetSize,
		services: map[string]*service{},
	}
}

// Claim spends one retry of the service that this process has claimed, or claims some more. It returns false if
// the fleet has none left, or the table does not answer at once.
func (c *Claimer) Claim(ctx context.Context, name string) bool {
	s := c.service(name)
	if spent, mayClaim := c.spend(s); spent || !mayClaim {
		return spent
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case s.turn <- struct{}{}:
		defer func() { <-s.turn }()
	case <-ctx.Done():
		return false
	}
	if spent, mayClaim := c.spend(s); spent || !mayClaim {
		return spent
	}
	began := c.clock.Now()
	retries, wait, err := c.claim(ctx, name)
	line := decisionlog.Start("retryClaim").Text("service", name).Int("retries", int64(retries)).Ms("tookMs", c.clock.Now().Sub(began))
	if err != nil {
		line.Text("error", err.Error())
	}
	c.log.Write(line)
	c.mu.Lock()
	defer c.mu.Unlock()
	if retries == 0 {
		least := max(pause, time.Duration(c.fleetSize())*pausePerProcess)
		s.notTill = c.clock.Now().Add(max(least, min(wait, c.window/4)) + rand.N(least))
		return false
	}
	s.retries, s.until = retries, began.Add(slackclaims.Lifetime)
	return s.take(c.clock.Now())
}

func (c *Claimer) service(name string) *service {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[name]
	if s == nil {
		s = &service{turn: make(chan struct{}, 1)}
		c.services[name] = s
	}
	return s
}

func (c *Claimer) spend(s *service) (spent, mayClaim bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	return s.take(now), !now.Before(s.notTill)
}

func (s *service) take(now time.Time) bool {
	if s.retries == 0 || !now.Before(s.until) {
		return false
	}
	s.retries--
	return true
}

// claim claims retries in the table. A claim whose fate is not known is lost.
func (c *Claimer) claim(ctx context.Context, name string) (retries int, wait time.Duration, err error) {
	key := carawayspread.Key{Partition: partition, Sort: name}
	for range maxAttempts {
		var item carawayspread.Item
		var claims slackclaims.Claims
		var replaced bool
		if item, claims, replaced, err = c.read(ctx, key); err != nil {
			return 0, 0, err
		}
		if retries, wait = claims.Take(c.now(), c.limit, c.window); retries == 0 && item.Rev > 0 && !replaced {
			return 0, wait, nil
		}
		if err = c.write(ctx, key, item.Rev, claims); !errors.Is(err, carawayspread.ErrCondition) {
			break
		}
	}
	if err != nil {
		return 0, 0, err
	}
	return retries, wait, nil
}

// now returns the largest value of the table's clock. It is known once the table has answered.
func (c *Claimer) now() time.Duration {
	now, _ := c.storeTime.Now()
	return now
}

// read returns the item and its claims. If earlier claims may be missing, all that may be taken counts as claimed
// from now on; replaced says that this must be written even if nothing is taken.
func (c *Claimer) read(ctx context.Context, key carawayspread.Key) (item carawayspread.Item, claims slackclaims.Claims, replaced bool, err error) {
	item, err = c.table.Get(ctx, key)
	missing := errors.Is(err, carawayspread.ErrNoItem)
	if err != nil && !missing {
		return item, claims, false, err
	}
	if _, known := c.storeTime.Now(); !known {
		return item, claims, false, errNoStoreTime
	}
	var generation uint64
	if restorable, ok := c.table.(carawayspread.Restorable); ok {
		generation = restorable.Generation()
	}
	var odd error // of another writer's item
	if !missing {
		odd = json.Unmarshal(item.Body, &claims)
		if odd == nil && !claims.Possible(c.now(), c.window) {
			odd = fmt.Errorf("no process can have made these %d claims at %s", len(claims.Claims), c.now())
		}
	}
	if odd != nil {
		c.log.Write(decisionlog.Start("retryClaim").Text("service", key.Sort).Text("unreadable", odd.Error()))
	}
	if odd != nil || generation > 1 && claims.Generation != generation {
		claims.Restored(c.now(), c.limit, generation)
		replaced = true
	}
	return item, claims, replaced, nil
}

func (c *Claimer) write(ctx context.Context, key carawayspread.Key, rev uint64, claims slackclaims.Claims) error {
	body, err := json.Marshal(claims)
	if err != nil {
		return err
	}
	return c.table.Apply(ctx, carawayspread.Write{IfRev: rev, Item: carawayspread.Item{Key: key, Token: uuid.NewString(), Body: body}})
}
