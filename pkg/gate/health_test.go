package gate

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

func TestFailureShareDecays(t *testing.T) {
	is := is.New(t)
	var h health
	is.Equal(h.failing(0), 0.0)
	h.record(0, true)
	is.True(h.failing(0) < 0.2) // one failure is not enough
	for range 50 {
		h.record(0, true)
	}
	is.True(h.failing(0) > 0.8)
	is.True(h.failing(10*healthHalfLife) < 0.1)
}

// failingShare sends calls to a back end and returns the failure share that its gate reports.
func failingShare(t *testing.T, serve func(conn net.Conn, request *http.Request, number int64) bool) float64 {
	t.Helper()
	address, _ := scriptedBackend(t, serve)
	g := newGateFor(address, 4)
	var report exchange.Report
	for i := range 40 {
		response := do(g, newCall(t, "GET", fmt.Sprintf("c%d", i)))
		report, _ = exchange.ReadReport(response.Header)
		response.Body.Close()
	}
	return report.FailureRate
}

// A gate must report every kind of failure of its back end, and must not take quick errors for fast
// service.
func TestGateReportsFailures(t *testing.T) {
	head := func(status string) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nCall-Id: " }
	for name, c := range map[string]struct {
		minShare, maxShare float64
		serve              func(conn net.Conn, request *http.Request, number int64) bool
	}{
		"well": {0, 0, func(conn net.Conn, r *http.Request, _ int64) bool {
			_, err := fmt.Fprintf(conn, "%s%s\r\n\r\n", head("200 OK"), r.Header.Get("Call-Id"))
			return err == nil
		}},
		"not found": {0, 0, func(conn net.Conn, r *http.Request, _ int64) bool {
			_, err := fmt.Fprintf(conn, "%s%s\r\n\r\n", head("404 Not Found"), r.Header.Get("Call-Id"))
			return err == nil
		}},
		"errors": {0.7, 1, func(conn net.Conn, r *http.Request, _ int64) bool {
			_, err := fmt.Fprintf(conn, "%s%s\r\n\r\n", head("500 Failed"), r.Header.Get("Call-Id"))
			return err == nil
		}},
		"declines": {0.7, 1, func(conn net.Conn, r *http.Request, _ int64) bool {
			_, err := fmt.Fprintf(conn, "%s%s\r\nNot-Run: 1\r\n\r\n", head("503 Busy"), r.Header.Get("Call-Id"))
			return err == nil
		}},
		"resets": {0.7, 1, func(net.Conn, *http.Request, int64) bool { return false }},
		"half of all": {0.35, 0.5, func(conn net.Conn, r *http.Request, n int64) bool {
			status := []string{"200 OK", "500 Failed"}[n%2]
			_, err := fmt.Fprintf(conn, "%s%s\r\n\r\n", head(status), r.Header.Get("Call-Id"))
			return err == nil
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			share := failingShare(t, c.serve)
			is.True(share >= c.minShare)
			is.True(share <= c.maxShare)
		})
	}
}

// A call without a response by its deadline must count as a failure; one that its caller canceled
// early must not.
func TestHangingBackendFails(t *testing.T) {
	is := is.New(t)
	address, release, _ := blockingBackend(t)
	defer close(release)
	g := newGateFor(address, 4)
	g.serviceTime = time.Millisecond
	send := func(left string, callerTimeout time.Duration) exchange.Report {
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		response := do(g, newCall(t, "GET", "x", "Left-Ms", left).WithContext(ctx))
		report, _ := exchange.ReadReport(response.Header)
		return report
	}
	is.Equal(send("2000", 20*time.Millisecond).FailureRate, 0.0)
	is.True(send("20", 25*time.Millisecond).FailureRate > 0)
}
