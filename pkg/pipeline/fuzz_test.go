package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzRequests sends a stream of bytes in two pieces. The server must send complete responses only, and must
// close the connection.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"), 7)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n"), 50)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 60)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nzz"), 3)
	f.Add([]byte("\r\n\r\nHEAD / HTTP/1.0\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cfg := testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(io.LimitReader(r.Body, 2))
			_, _ = w.Write(body)
		}))
		cfg.HeaderTimeout, cfg.IdleTimeout = 100*time.Millisecond, 100*time.Millisecond
		s := New(cfg)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Serve(l) }()
		defer s.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		at := min(max(0, cut), len(data))
		go func() {
			_, _ = c.Write(data[:at])
			_, _ = c.Write(data[at:])
		}()
		received, err := io.ReadAll(c)
		if err != nil {
			t.Fatalf("the connection was not closed: %v", err)
		}
		reader := bufio.NewReader(bytes.NewReader(received))
		for {
			if _, err := reader.Peek(1); err != nil {
				return
			}
			line, err := reader.Peek(9)
			if err != nil || string(line) != "HTTP/1.1 " {
				t.Fatalf("not a response: %q", received)
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("not a response: %v in %q", err, received)
			}
			if bytes.Contains(data, []byte("HEAD")) {
				return
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				t.Fatalf("incomplete response: %v in %q", err, received)
			}
		}
	})
}
