// Package decisionlog writes a line for each decision without holding up the
// request that it is about.
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
	// waiting bounds the lines that are not written yet; at two thousand
	// requests a second before 35 processes that is some ten seconds.
	queueSize = 512
	// maxLineBytes bounds a line in bytes; a longer one is cut.
	maxLineBytes = 512
	// maxValueBytes bounds one value that comes from outside.
	maxValueBytes = 64
)

// Log takes lines. It is safe for concurrent use.
type Log struct {
	w       io.Writer
	queue   chan string
	dropped atomic.Int64
}

// New returns a log that Run writes to w.
func New(w io.Writer) *Log { return &Log{w: w, queue: make(chan string, queueSize)} }

// Run writes until ctx ends, and then what is left.
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

// Flush writes what is waiting.
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
	// An error of the log's own output has nowhere to go.
	_, _ = io.WriteString(l.w, line)
}

// Dropped returns how many lines found no room.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// EventWriter returns a writer whose every write becomes one line of that event, cut
// to the length of a value: what libraries print of their own may hold parts of
// callers' answers.
func (l *Log) EventWriter(event string) io.Writer { return eventWriter{l, event} }

type eventWriter struct {
	log   *Log
	event string
}

func (w eventWriter) Write(p []byte) (int, error) {
	w.log.Write(Start(w.event).Text("message", string(p)))
	return len(p), nil
}

// Line builds one line of key=value pairs.
type Line struct{ b strings.Builder }

// Start returns a line about that event.
func Start(event string) *Line {
	line := &Line{}
	line.b.Grow(maxLineBytes / 2)
	line.b.WriteString("event=")
	line.b.WriteString(event)
	return line
}

// Text adds a value; what would break the line is replaced.
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

// Write hands the line over; it is dropped and counted where there is no room.
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
