// Package logging makes the process's logger: one line of key=value pairs an event.
//
// The volume is bounded: of each kind of event only so many lines a second are written, and
// how many were left out is said in a line of its own. Writing never holds the process up:
// lines wait in a bounded buffer, and what does not fit is dropped and counted.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

// Bounds of the volume.
const (
	// linesPerSecond is how many lines of one kind of event are written in a second.
	linesPerSecond = 25
	// bufferedLines is how many lines wait for a reader that is slow.
	bufferedLines = 2048
	// closeTimeout bounds how long a process that ends waits for its last lines.
	closeTimeout = 200 * time.Millisecond
)

// eventKey is the key under which each line names its kind.
const eventKey = "event"

// Logger writes bounded lines. It implements log.Logger.
type Logger struct {
	next   log.Logger
	writer *lineWriter
	now    func() time.Time

	mu     sync.Mutex
	second int64
	counts map[string]int
}

// New returns a logger that writes to w. Each line carries the time, the role and the
// process's name.
func New(w io.Writer, role, name string) *Logger {
	writer := newLineWriter(w)
	lines := log.NewLogfmtLogger(writer)
	return &Logger{
		next:   log.With(lines, "ts", log.DefaultTimestampUTC, "role", role, "name", name),
		writer: writer, now: time.Now, counts: map[string]int{},
	}
}

// Log implements log.Logger. The first key must be "event" for the line to be bounded by
// its kind.
func (l *Logger) Log(keyvals ...any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.second {
		l.reportLeftOut()
		l.second = second
	}
	kind := kindOf(keyvals)
	l.counts[kind]++
	if l.counts[kind] > linesPerSecond {
		return nil
	}
	return l.next.Log(keyvals...)
}

// reportLeftOut says how many lines of the last second were left out; the mutex is held.
func (l *Logger) reportLeftOut() {
	for kind, count := range l.counts {
		if count > linesPerSecond {
			_ = l.next.Log(eventKey, "lines_left_out", "kind", kind, "lines", count-linesPerSecond)
		}
	}
	clear(l.counts)
	if dropped := l.writer.dropped.Swap(0); dropped > 0 {
		_ = l.next.Log(eventKey, "lines_dropped", "lines", dropped)
	}
}

func kindOf(keyvals []any) string {
	if len(keyvals) < 2 || keyvals[0] != eventKey {
		return ""
	}
	kind, _ := keyvals[1].(string)
	return kind
}

// Close writes what is left out and still buffered, as far as the reader takes it.
func (l *Logger) Close() {
	l.mu.Lock()
	l.reportLeftOut()
	l.mu.Unlock()
	l.writer.close()
}

// lineWriter passes lines on in a goroutine of its own.
type lineWriter struct {
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	dropped atomic.Int64
}

func newLineWriter(w io.Writer) *lineWriter {
	l := &lineWriter{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			if line == nil {
				return
			}
			_, _ = w.Write(line)
		}
	}()
	return l
}

// Write implements io.Writer; it never waits.
func (l *lineWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

func (l *lineWriter) close() {
	l.once.Do(func() {
		deadline := time.After(closeTimeout)
		select {
		case l.lines <- nil:
		case <-deadline:
			return
		}
		select {
		case <-l.done:
		case <-deadline:
		}
	})
}
