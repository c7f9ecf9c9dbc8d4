package changelog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"carawayspread"
	"carawayspread/internal/version/auditrecord"
	"carawayspread/internal/version/change"
	"carawayspread/internal/version/finding"
	"carawayspread/internal/version/record"
	"carawayspread/internal/version/snapshot"
)

// maxChangeBytes bounds an encoded record so that it fits into one item of the table service, and
// so does its audit record, which holds the old and the new values.
const maxChangeBytes = 24 << 10

// Proposal is a change requested by an operator.
type Proposal struct {
	Change  *change.Change
	Against carawayspread.Version // the version that the operator saw
	Actor   string
	// Held is the newest configuration that this process holds; only later changes are read.
	Held *carawayspread.Config
}

// attempt is one proposal that is being appended.
type attempt struct {
	Proposal
	token string
	at    time.Time
	base  *carawayspread.Config // the newest configuration, as read at the start
}

// Append writes the proposal as the version after the one that it was made against, and returns its
// record and the resulting configuration. Every error is a *Refusal.
func (l *Log) Append(ctx context.Context, p Proposal) (record.Record, *carawayspread.Config, error) {
	a := &attempt{Proposal: p, token: l.newToken(), at: l.clock.Now().UTC()}
	accepted, cfg, refusal := l.append(ctx, a)
	if refusal != nil {
		refusal.attempt = a.token
		l.recordRefusal(ctx, a, refusal)
		return record.Record{}, nil, refusal
	}
	l.logger.WithFields(log.Fields{
		"version": accepted.Version, "actor": a.Actor, "attempt": a.token,
	}).Info("config.accepted")
	l.snapshot(ctx, cfg)
	return accepted, cfg, nil
}

func (l *Log) append(ctx context.Context, a *attempt) (record.Record, *carawayspread.Config, *Refusal) {
	var none record.Record
	base, _, err := l.CatchUp(ctx, a.Held)
	if err != nil {
		return none, nil, storeUnavailable(err)
	}
	a.base = base
	if a.Against != base.Version() {
		return none, nil, l.conflict(ctx, a)
	}
	cfg, err := a.Change.Apply(base)
	if err != nil {
		return none, nil, invalid(base.Version(), findingsOf(err))
	}
	r := record.Record{
		Version: cfg.Version(), Actor: a.Actor, At: a.at, Attempt: a.token, Change: a.Change,
	}
	writes, err := l.writes(a, r)
	if err != nil {
		return none, nil, invalid(base.Version(), findingsOf(err))
	}
	if refusal := l.commit(ctx, a, r.Version, writes); refusal != nil {
		return none, nil, refusal
	}
	return r, cfg, nil
}

func findingsOf(err error) finding.List {
	var list finding.List
	if errors.As(err, &list) {
		return list
	}
	return finding.List{{Message: err.Error()}}
}

// writes returns the two items of an accepted change: the change and its audit record.
func (l *Log) writes(a *attempt, r record.Record) ([]carawayspread.Write, error) {
	body, err := r.Encode()
	if err != nil {
		return nil, err
	}
	if len(body) > maxChangeBytes {
		return nil, trace.BadParameter("the change has %d bytes, more than %d; make it in parts", len(body), maxChangeBytes)
	}
	audit, err := attemptAuditWrite(a, auditrecord.AuditRecord{
		Verdict: auditrecord.Accepted,
		Version: r.Version,
		From:    a.Change.Inverse(a.base),
		To:      a.Change,
	})
	if err != nil {
		return nil, err
	}
	item := carawayspread.Item{Key: configKey(r.Version), Token: a.token, Body: body}
	return []carawayspread.Write{{Item: item}, audit}, nil
}

// commit puts the items if they are absent. The answer to a write may be lost after the write took
// effect; commit then reads the item of the version. With the token of this attempt, the change was
// accepted. With another token, another attempt holds the version, since no item is replaced. With
// no item, the write may still arrive, so that it is repeated with the same token and condition,
// which cannot take effect twice.
func (l *Log) commit(ctx context.Context, a *attempt, version carawayspread.Version, writes []carawayspread.Write) *Refusal {
	// The change is not cancelled when the operator stops waiting.
	ctx = context.WithoutCancel(ctx)
	var lost error
	for n := range l.maxWrites {
		if n > 0 {
			<-l.clock.After(l.writeRetryDelay)
		}
		err := l.apply(ctx, writes)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, carawayspread.ErrUnavailable) && lost == nil:
			return storeUnavailable(err)
		case errors.Is(err, carawayspread.ErrCondition) && lost == nil:
			return l.conflict(ctx, a)
		case !errors.Is(err, carawayspread.ErrCondition):
			lost = err
		}
		token, readErr := l.tokenOf(ctx, version)
		if readErr != nil {
			continue
		}
		if token == a.token {
			return nil
		}
		return l.conflict(ctx, a)
	}
	return unknown(version, a.token, lost)
}

func (l *Log) apply(ctx context.Context, writes []carawayspread.Write) error {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return l.table.Apply(ctx, writes...)
}

// tokenOf returns the token of the attempt that wrote a version; an absent version is an error.
func (l *Log) tokenOf(ctx context.Context, version carawayspread.Version) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	item, err := l.table.Get(ctx, configKey(version))
	return item.Token, trace.Wrap(err)
}

func configKey(version carawayspread.Version) carawayspread.Key {
	return carawayspread.Key{Partition: partitionConfig, Sort: sortKey(version)}
}

// conflict returns a refusal with the changes accepted since the version that the operator saw. It
// is a conflict even where these cannot be read.
func (l *Log) conflict(ctx context.Context, a *attempt) *Refusal {
	current := a.base.Version()
	if a.Against == current {
		current++ // another attempt holds the next version
	}
	since, err := l.readPage(ctx, a.Against)
	if err == nil && len(since) > 0 {
		current = max(current, since[len(since)-1].Version)
	}
	return conflict(a.Against, current, since)
}

// recordRefusal logs a refusal and writes its audit record, unless the store is unavailable or the
// outcome is unknown: then only the log line remains. A failure to write it does not change the
// answer to the operator.
func (l *Log) recordRefusal(ctx context.Context, a *attempt, refusal *Refusal) {
	l.logger.WithFields(log.Fields{
		"code": refusal.err.Code(), "actor": a.Actor, "attempt": a.token, "against": a.Against,
	}).WithError(refusal).Warn("config.refused")
	code := refusal.err.Code()
	if code == carawayspread.CodeStoreUnavailable || code == carawayspread.CodeUnknownOutcome {
		return
	}
	reason := refusal.err.Message()
	if len(refusal.findings) > 0 {
		reason = fmt.Sprintf("%s: %s", reason, refusal.findings.Error())
	}
	write, err := attemptAuditWrite(a, auditrecord.AuditRecord{
		Verdict: auditrecord.Refused,
		Code:    code,
		Reason:  reason,
		To:      a.Change,
	})
	if err == nil {
		err = l.apply(context.WithoutCancel(ctx), []carawayspread.Write{write})
	}
	if err != nil {
		l.logger.WithField("attempt", a.token).WithError(err).Warn("config.auditUnwritten")
	}
}

// attemptAuditWrite sets the fields that all audit records of an attempt share.
func attemptAuditWrite(a *attempt, r auditrecord.AuditRecord) (carawayspread.Write, error) {
	r.At = a.at
	r.Actor = a.Actor
	r.Attempt = a.token
	r.Action = auditrecord.Change
	r.Against = a.Against
	r.Touches = a.Change.Touches()
	return auditRecordWrite(r)
}

// auditRecordWrite returns the write of an audit record. The key contains the token of the attempt,
// so that a repeated transaction has the key of its own record.
func auditRecordWrite(r auditrecord.AuditRecord) (carawayspread.Write, error) {
	body, err := r.Encode()
	key := carawayspread.Key{
		Partition: auditPartition(r.At),
		Sort:      fmt.Sprintf("%020d-%s", r.At.UnixNano(), r.Attempt),
	}
	return carawayspread.Write{Item: carawayspread.Item{Key: key, Token: r.Attempt, Body: body}}, err
}

// WriteAudit writes the audit record of an action that is not a change of the
// configuration.
func (l *Log) WriteAudit(ctx context.Context, r auditrecord.AuditRecord) error {
	r.At = l.clock.Now().UTC()
	r.Attempt = l.newToken()
	write, err := auditRecordWrite(r)
	if err != nil {
		return err
	}
	return trace.Wrap(l.apply(ctx, []carawayspread.Write{write}))
}

// snapshot stores the configuration if its version is a multiple of snapshotEvery.
func (l *Log) snapshot(ctx context.Context, cfg *carawayspread.Config) {
	if cfg.Version()%l.snapshotEvery != 0 {
		return
	}
	body, err := snapshot.Encode(cfg)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.timeout)
		defer cancel()
		err = l.objects.Put(ctx, snapshotName, body)
	}
	if err != nil {
		l.logger.WithField("version", cfg.Version()).WithError(err).Warn("config.snapshotUnwritten")
	}
}
