// Package logging provides the daemons' logger, which writes one line of key=value pairs
// (logfmt) for each event.
//
// The lines of each kind of event are limited per second; suppressed lines are counted and
// reported in a line of their own. Logging never blocks: lines are queued in a bounded buffer,
// and lines beyond it are dropped and counted.
package logging

import (
	"io"
	stdlog "log"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

// These constants bound the output of the log.
const (
	// maxLinesPerSecond bounds the lines written per second for one kind of event.
	maxLinesPerSecond = 25
	// maxBufferedLines bounds the lines queued while the output is slow.
	maxBufferedLines = 2048
	// closeTimeout bounds how long Close waits for queued lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// eventKey is the key of a line's kind of event.
const eventKey = "event"

// Logger is a rate-limited, non-blocking logger. It implements log.Logger and is safe for
// concurrent use.
type Logger struct {
	output log.Logger
	writer *lineWriter
	now    func() time.Time

	mu            sync.Mutex
	currentSecond int64
	counts        map[string]int
}

// New returns a logger that writes to w. Each line has the UTC time, the role and the
// process's name.
func New(w io.Writer, role, name string) *Logger {
	writer := newLineWriter(w)
	lines := log.NewLogfmtLogger(writer)
	return &Logger{
		output: log.With(lines, "ts", log.DefaultTimestampUTC, "role", role, "name", name),
		writer: writer, now: time.Now, counts: map[string]int{},
	}
}

// CaptureStandardLog makes the lines that libraries write to the standard logger events of this one.
func (l *Logger) CaptureStandardLog() {
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(log.With(l, eventKey, "library")))
}

// Log writes one line, unless the limit of its kind is reached, and implements log.Logger. The
// kind is the value of the first key if that is "event"; all other lines share one limit.
func (l *Logger) Log(keyvals ...any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.currentSecond {
		l.logSuppressedLines()
		l.currentSecond = second
	}
	kind := eventKind(keyvals)
	l.counts[kind]++
	if l.counts[kind] > maxLinesPerSecond {
		return nil
	}
	return l.output.Log(keyvals...)
}

// logSuppressedLines logs how many lines were suppressed in the last second, and how many were
// dropped since the last report. The caller holds l.mu.
func (l *Logger) logSuppressedLines() {
	for kind, count := range l.counts {
		if count > maxLinesPerSecond {
			_ = l.output.Log(eventKey, "lines_left_out", "kind", kind, "lines", count-maxLinesPerSecond)
		}
	}
	clear(l.counts)
	if dropped := l.writer.dropped.Swap(0); dropped > 0 {
		_ = l.output.Log(eventKey, "lines_dropped", "lines", dropped)
	}
}

func eventKind(keyvals []any) string {
	if len(keyvals) < 2 || keyvals[0] != eventKey {
		return ""
	}
	kind, _ := keyvals[1].(string)
	return kind
}

// Close reports suppressed lines and waits up to closeTimeout until queued lines are written.
func (l *Logger) Close() {
	l.mu.Lock()
	l.logSuppressedLines()
	l.mu.Unlock()
	l.writer.close()
}

// lineWriter writes queued lines from a separate goroutine.
type lineWriter struct {
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Int64
}

func newLineWriter(w io.Writer) *lineWriter {
	l := &lineWriter{lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
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

// Write queues a copy of line, or drops it if the queue is full, and implements io.Writer.
func (l *lineWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

func (l *lineWriter) close() {
	l.closeOnce.Do(func() {
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
