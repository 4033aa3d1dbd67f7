package pipeline

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

const noticeHeader = "Test-Outcome"

// Guards against a request that crosses the close of its idle connection and gets no response.
func TestCloseNoticeAnswersARequestThatCrossesTheClose(t *testing.T) {
	is := is.New(t)
	cfg := testConfig(newBlockingHandler())
	cfg.CloseNotice = http.Header{noticeHeader: {"not-run"}}
	s, address := serve(t, cfg)
	c, other := dial(t, address), dial(t, address)
	c.get("/now/1")
	_, _ = c.readResponse()
	other.get("/now/other")
	_, _ = other.readResponse()
	ended := startShutdown(t, s)
	awaitDraining(t, s)
	c.post("/2", "body")
	for _, caller := range []*caller{c, other} {
		response, _ := caller.readResponse()
		is.Equal(response.StatusCode, http.StatusRequestTimeout)
		is.Equal(response.Header.Get(noticeHeader), "not-run")
		is.True(response.Close)
		is.True(caller.closedByServer())
		caller.Close()
	}
	is.NoErr(<-ended)
}

// Guards against a client of net/http that takes the notice for the response to a later request.
func TestClientReconnectsAfterACloseNotice(t *testing.T) {
	is := is.New(t)
	cfg := testConfig(newBlockingHandler())
	cfg.CloseNotice, cfg.IdleTimeout = http.Header{noticeHeader: {"not-run"}}, 20*time.Millisecond
	_, address := serve(t, cfg)
	client := &http.Client{Transport: &http.Transport{}}
	for i := range 5 {
		response, err := client.Get(fmt.Sprintf("http://%s/now/%d", address, i))
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		response.Body.Close()
		time.Sleep(5 * cfg.IdleTimeout)
	}
}
