package exchange

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessBody is a body without end that records when it stops being read.
type endlessBody struct{ closed chan struct{} }

// Read implements io.Reader.
func (b endlessBody) Read(p []byte) (int, error) {
	select {
	case <-b.closed:
		return 0, io.ErrUnexpectedEOF
	default:
		return len(p), nil
	}
}

func (b endlessBody) Close() error { return nil }

// Guards against responses that exceed the buffer together because none counts before it was read.
func TestBufferBoundsResponsesThatAreBeingReceived(t *testing.T) {
	for name, length := range map[string]int64{"unknown length": -1, "declared length": 1 << 40} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const limit, readers = 3 << 20, 40
			buffer := NewResponseBuffer(limit)
			var group sync.WaitGroup
			var mu sync.Mutex
			buffered := 0
			var releases []func()
			for range readers {
				group.Go(func() {
					data, rest, release, err := buffer.ReadWhole(&http.Response{Body: endlessBody{}, ContentLength: length})
					mu.Lock()
					defer mu.Unlock()
					if err != nil || rest == nil {
						t.Errorf("the body counts as complete: %v", err)
					}
					buffered += len(data)
					releases = append(releases, release)
				})
			}
			group.Wait()
			// The first LargeResponse bytes of each body need no room.
			is.True(buffered <= limit+MaxBuffered+readers*(LargeResponse+1))
			is.True(buffer.Held() <= limit+MaxBuffered+readers*(LargeResponse+1))
			for _, release := range releases {
				release()
				release()
			}
			is.Equal(buffer.Held(), int64(0))
		})
	}
}

func TestBufferReturnsTheReservationOfFailedResponse(t *testing.T) {
	for name, length := range map[string]int64{"unknown length": -1, "declared length": 1 << 40} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			buffer := NewResponseBuffer(64 << 20)
			body := endlessBody{closed: make(chan struct{})}
			time.AfterFunc(time.Millisecond, func() { close(body.closed) })
			slow := struct {
				io.Reader
				io.Closer
			}{readerFunc(func(p []byte) (int, error) {
				time.Sleep(100 * time.Microsecond)
				return body.Read(p[:min(len(p), 1<<10)])
			}), body}
			_, _, _, err := buffer.ReadWhole(&http.Response{Body: slow, ContentLength: length})
			is.True(errors.Is(err, io.ErrUnexpectedEOF))
			is.Equal(buffer.Held(), int64(0))
		})
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// A body is the same whatever its size and framing.
func TestBufferKeepsBodies(t *testing.T) {
	for _, size := range []int{0, 1, LargeResponse - 1, LargeResponse, LargeResponse + 1, 100_000, MaxBuffered - 1, MaxBuffered, MaxBuffered + 1, 3 * MaxBuffered} {
		for _, declared := range []bool{true, false} {
			is := is.New(t)
			text := strings.Repeat("0123456789", size/10+1)[:size]
			length := int64(-1)
			if declared {
				length = int64(size)
			}
			buffer := NewResponseBuffer(64 << 20)
			data, rest, release, err := buffer.ReadWhole(&http.Response{Body: io.NopCloser(strings.NewReader(text)), ContentLength: length})
			is.NoErr(err)
			is.Equal(rest == nil, size <= MaxBuffered)
			if rest != nil {
				more, err := io.ReadAll(rest)
				is.NoErr(err)
				data = append(bytes.Clone(data), more...)
			}
			is.True(string(data) == text)
			release()
			is.Equal(buffer.Held(), int64(0))
		}
	}
}
