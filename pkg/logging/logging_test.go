package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *safeBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(data)
}

func TestEachKindIsBoundedAndLeftOutLinesAreCounted(t *testing.T) {
	is := is.New(t)
	var out safeBuffer
	logger := New(&out, "proxy", "one")
	now := time.Unix(100, 0)
	logger.now = func() time.Time { return now }
	for i := range 100 {
		is.NoErr(logger.Log("event", "call_refused", "request", i))
	}
	is.NoErr(logger.Log("event", "stopping")) // other kinds are not affected
	now = now.Add(time.Second)
	is.NoErr(logger.Log("event", "call_refused", "request", "next"))
	logger.Close()
	text := out.String()
	is.Equal(strings.Count(text, "event=call_refused"), linesPerSecond+1)
	is.Equal(strings.Count(text, "event=stopping"), 1)
	is.True(strings.Contains(text, fmt.Sprintf("event=lines_left_out kind=call_refused lines=%d", 100-linesPerSecond)))
}

// blockedWriter is a reader of standard output that stopped reading.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(data []byte) (int, error) {
	<-b.release
	return len(data), nil
}

func TestBlockedReaderHoldsNothingUp(t *testing.T) {
	is := is.New(t)
	blocked := blockedWriter{make(chan struct{})}
	defer close(blocked.release)
	logger := New(blocked, "proxy", "one")
	began := time.Now()
	for i := range 4 * bufferedLines {
		is.NoErr(logger.Log("event", fmt.Sprintf("kind%d", i)))
	}
	logger.Close()
	is.True(time.Since(began) < 2*time.Second)
	is.True(logger.writer.dropped.Load() > 0)
}

// What callers and peers send must not break a line or look like a field.
func FuzzLinesStayWhole(f *testing.F) {
	f.Add("id\nevent=forged", "x=\"y\" \x00\x1b[31m")
	f.Fuzz(func(t *testing.T, id, reason string) {
		var out safeBuffer
		logger := New(&out, "proxy", "one")
		_ = logger.Log("event", "call_refused", "request", id, "reason", reason)
		logger.Close()
		if strings.Count(out.String(), "\n") != 1 || strings.Count(out.String(), " event=") != 1 {
			t.Fatalf("the line broke: %q", out.String())
		}
	})
}
