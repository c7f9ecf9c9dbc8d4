// Package decisionlog writes one log line per decision without blocking the request.
package decisionlog

import (
	"context"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// queueSize bounds the lines that are not written yet. At two thousand requests a second
	// over 35 processes these are about ten seconds' worth.
	queueSize = 512
	// maxLineBytes bounds a line; a longer one is truncated.
	maxLineBytes = 768
	// maxValueBytes bounds a text value, which may come from outside.
	maxValueBytes = 64
)

// Log queues lines and writes them in the background. It is safe for concurrent use.
type Log struct {
	w       io.Writer
	queue   chan string
	dropped atomic.Int64
}

// New returns a log whose lines Run writes to w.
func New(w io.Writer) *Log { return &Log{w: w, queue: make(chan string, queueSize)} }

// Run writes lines until ctx ends, then those that are still queued, and returns ctx.Err().
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		case <-ctx.Done():
			l.Flush()
			return ctx.Err()
		}
	}
}

// Flush writes the queued lines.
func (l *Log) Flush() {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		default:
			return
		}
	}
}

func (l *Log) write(line string) {
	// An error of the log's own output cannot be reported anywhere.
	_, _ = io.WriteString(l.w, line)
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// EventWriter returns a writer that logs every write as one line of that event, truncated to
// maxValueBytes: what libraries print may contain parts of callers' answers.
func (l *Log) EventWriter(event string) io.Writer { return eventWriter{l, event} }

type eventWriter struct {
	log   *Log
	event string
}

func (w eventWriter) Write(p []byte) (int, error) {
	w.log.Write(Start(w.event).Text("message", string(p)))
	return len(p), nil
}

// Line builds one line of key=value pairs. Its methods return the line itself.
type Line struct{ b strings.Builder }

// Start returns a line of that event.
func Start(event string) *Line {
	line := &Line{}
	line.b.Grow(maxLineBytes / 2)
	line.b.WriteString("event=")
	line.b.WriteString(event)
	return line
}

// Text adds a value, truncated to maxValueBytes and quoted where needed. An empty one is left out.
func (l *Line) Text(key, value string) *Line {
	if value == "" {
		return l
	}
	if len(value) > maxValueBytes {
		value = value[:maxValueBytes]
	}
	l.key(key)
	if strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r > '~' }) {
		value = strconv.Quote(value)
	}
	l.b.WriteString(value)
	return l
}

// Int adds a number.
func (l *Line) Int(key string, value int64) *Line {
	l.key(key)
	l.b.WriteString(strconv.FormatInt(value, 10))
	return l
}

// Ms adds a duration in milliseconds.
func (l *Line) Ms(key string, d time.Duration) *Line {
	l.key(key)
	l.b.WriteString(strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64))
	return l
}

func (l *Line) key(key string) {
	l.b.WriteByte(' ')
	l.b.WriteString(key)
	l.b.WriteByte('=')
}

// Write queues the line. It never blocks: where the queue is full, the line is dropped and counted.
func (l *Log) Write(line *Line) {
	text := line.b.String()
	if len(text) >= maxLineBytes {
		text = text[:maxLineBytes-1]
	}
	select {
	case l.queue <- text + "\n":
	default:
		l.dropped.Add(1)
	}
}
