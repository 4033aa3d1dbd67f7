package pipeline

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// largeResponse is the size of a usual large response.
const largeResponse = 30 << 10

// Guards against a close notice that is left out behind a large response, whose acknowledgement takes a round trip: a
// request that its caller then sends would get no response.
func TestCloseNoticeIsSentBehindALargeResponse(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 1)
	cfg := testConfig(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("a", largeResponse))
		started <- struct{}{}
	}))
	cfg.CloseNotice = http.Header{noticeHeader: {"not-run"}}
	s, address := serve(t, cfg)
	c := dial(t, address)
	is.NoErr(c.Conn.(*net.TCPConn).SetReadBuffer(largeResponse / 8)) // The kernel acknowledges the response only as it is read.
	c.get("/1")
	<-started
	time.Sleep(20 * time.Millisecond)
	ended := startShutdown(t, s)
	awaitDraining(t, s)
	time.Sleep(20 * time.Millisecond)
	_, body := c.readResponse()
	is.Equal(len(body), largeResponse)
	response, _ := c.readResponse()
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
	c.Close()
	is.NoErr(<-ended)
}
