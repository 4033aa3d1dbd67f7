// Package load generates closed-loop and open-loop calls and records their outcomes.
// Closed-loop calls also verify the response body.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramblelift/pkg/bench/history"
	"bramblelift/pkg/bench/profile"
	"bramblelift/pkg/bench/standin"
)

// Config configures a closed-loop load: each caller waits for a response before its next
// call.
type Config struct {
	Services []profile.Service
	// Nodes holds the addresses of the nodes to call.
	Nodes []string
	// Callers is the number of concurrent callers.
	Callers int
	// Pause is the mean time between two calls of a caller.
	Pause time.Duration
	// Timeout limits each call.
	Timeout time.Duration
	// Seed determines the calls.
	Seed uint64
}

const (
	writeShare       = 0.3
	maxResponseBytes = 8 << 10
	maxUploadBytes   = 4 << 10
	maxIdleConns     = 256
)

// Run sends calls until the context ends and adds them to the history. Calls in flight at
// that time are completed.
func Run(ctx context.Context, config Config, callHistory *history.History) {
	client := &http.Client{Timeout: config.Timeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	for i := range config.Callers {
		group.Go(func() {
			c := &caller{config: config, client: client, callHistory: callHistory, index: i,
				random: rand.New(rand.NewPCG(config.Seed, uint64(i)))}
			c.run(ctx)
		})
	}
	group.Wait()
}

type caller struct {
	config      Config
	client      *http.Client
	callHistory *history.History
	random      *rand.Rand
	index       int
	sent        int
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.sendCall()
		pause := time.Duration((0.5 + c.random.Float64()) * float64(c.config.Pause))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// sendCall sends one random call and records it. It ignores the end of the load's context,
// so that the history contains every call that was started.
func (c *caller) sendCall() {
	c.sent++
	service := c.config.Services[c.random.IntN(len(c.config.Services))]
	node := c.config.Nodes[c.random.IntN(len(c.config.Nodes))]
	call := history.Call{
		ID:   fmt.Sprintf("s%d-c%d-n%d", c.config.Seed, c.index, c.sent),
		Once: c.random.Float64() < writeShare,
		Node: node,
	}
	method, path := http.MethodGet, service.Reads
	var upload []byte
	if call.Once {
		method, path = http.MethodPost, service.Writes
		upload = bytes.Repeat([]byte("x"), c.random.IntN(maxUploadBytes))
	}
	Send(c.client, method, "http://"+node+path+"/"+call.ID, upload, c.random.IntN(maxResponseBytes)+1, &call)
	c.callHistory.AddCall(call)
}

// Send performs one call that asks for a response of the given length in bytes, and fills
// in the outcome in call.
func Send(client *http.Client, method, url string, upload []byte, length int, call *history.Call) {
	call.Start = time.Now()
	defer func() { call.End = time.Now() }()
	request, err := http.NewRequest(method, url, bytes.NewReader(upload))
	if err != nil {
		call.Error = err.Error()
		return
	}
	if call.Once {
		// Without GetBody, the HTTP client cannot retry the call.
		request.GetBody = nil
		request.Body = io.NopCloser(bytes.NewReader(upload))
	}
	request.Header.Set(standin.HeaderCallID, call.ID)
	request.Header.Set(standin.HeaderWantBytes, strconv.Itoa(length))
	response, err := client.Do(request)
	if err != nil {
		call.Error = err.Error()
		return
	}
	defer response.Body.Close()
	call.Status = response.StatusCode
	call.Outcome = response.Header.Get("Request-Outcome")
	body, err := io.ReadAll(response.Body)
	if err != nil {
		call.Error = err.Error()
	}
	if call.Answered() {
		verifyBody(call, body, length)
	}
}

// verifyBody compares a response body with the expected one and sets Complete and Foreign.
func verifyBody(call *history.Call, body []byte, length int) {
	want := standin.ResponseBody(call.ID, length)
	call.Complete = bytes.Equal(body, want)
	if !call.Complete && !strings.HasPrefix(string(want), string(body)) {
		call.Foreign = true
	}
}

// Summary counts calls by outcome.
type Summary struct {
	Calls    int
	Answered int
	Refused  int
	Failed   int
}

// Summarize counts the calls of a history by outcome.
func Summarize(records history.Records) Summary {
	var s Summary
	for _, call := range records.Calls {
		s.Calls++
		switch {
		case call.Answered() && call.Complete:
			s.Answered++
		case call.Outcome != "":
			s.Refused++
		default:
			s.Failed++
		}
	}
	return s
}
