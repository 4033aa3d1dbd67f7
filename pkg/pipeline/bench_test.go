package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// BenchmarkServe measures one call with a response of 200 bytes on a persistent connection, with this package and
// with net/http.
func BenchmarkServe(b *testing.B) {
	body := make([]byte, 200)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })
	b.Run("pipeline", func(b *testing.B) {
		cfg := testConfig(handler)
		cfg.WriteTimeout = time.Minute
		s := New(cfg)
		defer s.Close()
		benchmarkSequentialCalls(b, s.Serve)
	})
	b.Run("net-http", func(b *testing.B) {
		s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
		defer s.Close()
		benchmarkSequentialCalls(b, s.Serve)
	})
}

func benchmarkSequentialCalls(b *testing.B, serve func(net.Listener) error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := io.WriteString(c, "GET /a/b HTTP/1.1\r\nHost: a\r\nX-Id: 123\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
	}
}
