package logging

import (
	"bytes"
	"fmt"
	stdlog "log"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(data)
}

func TestLinesOfEachEventAreLimitedAndSuppressedLinesCounted(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	logger := New(&out, "proxy", "one")
	now := time.Unix(100, 0)
	logger.now = func() time.Time { return now }
	for i := range 100 {
		is.NoErr(logger.Log("event", "call_refused", "request", i))
	}
	is.NoErr(logger.Log("event", "stopping")) // another kind has its own limit
	now = now.Add(time.Second)
	is.NoErr(logger.Log("event", "call_refused", "request", "next"))
	logger.Close()
	text := out.String()
	is.Equal(strings.Count(text, "event=call_refused"), maxLinesPerSecond+1)
	is.Equal(strings.Count(text, "event=stopping"), 1)
	is.True(strings.Contains(text, fmt.Sprintf("event=lines_left_out kind=call_refused lines=%d", 100-maxLinesPerSecond)))
}

// Guards against lines of libraries that are neither structured nor bounded.
func TestStandardLogIsCaptured(t *testing.T) {
	is := is.New(t)
	output, flags := stdlog.Writer(), stdlog.Flags()
	defer func() {
		stdlog.SetOutput(output)
		stdlog.SetFlags(flags)
	}()
	var out lockedBuffer
	logger := New(&out, "proxy", "one")
	logger.CaptureStandardLog()
	for range 2 * maxLinesPerSecond {
		stdlog.Printf("Unsolicited response on %s", "a channel")
	}
	logger.Close()
	text := out.String()
	is.True(strings.Contains(text, `role=proxy name=one event=library msg="Unsolicited response on a channel"`))
	is.True(strings.Count(text, "event=library") <= 2*maxLinesPerSecond)
	is.True(strings.Contains(text, "lines_left_out kind=library") || strings.Count(text, "event=library") == 2*maxLinesPerSecond)
}

// blockingWriter blocks each write until release is closed, like a pipe that nobody reads.
type blockingWriter struct{ release chan struct{} }

func (b blockingWriter) Write(data []byte) (int, error) {
	<-b.release
	return len(data), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	blocking := blockingWriter{make(chan struct{})}
	defer close(blocking.release)
	logger := New(blocking, "proxy", "one")
	start := time.Now()
	for i := range 4 * maxBufferedLines {
		is.NoErr(logger.Log("event", fmt.Sprintf("kind%d", i)))
	}
	logger.Close()
	is.True(time.Since(start) < 2*time.Second)
	is.True(logger.writer.dropped.Load() > 0)
}

// Text from callers and peers must not split a line or forge a field.
func FuzzLinesStayWhole(f *testing.F) {
	f.Add("id\nevent=forged", "x=\"y\" \x00\x1b[31m")
	f.Fuzz(func(t *testing.T, id, reason string) {
		var out lockedBuffer
		logger := New(&out, "proxy", "one")
		_ = logger.Log("event", "call_refused", "request", id, "reason", reason)
		logger.Close()
		if strings.Count(out.String(), "\n") != 1 || strings.Count(out.String(), " event=") != 1 {
			t.Fatalf("the line broke: %q", out.String())
		}
	})
}
