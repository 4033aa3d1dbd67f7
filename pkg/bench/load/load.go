// Package load plays callers: it sends calls through nodes, checks each answer against
// the only right one, and records how it ended.
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

// Config describes a load.
type Config struct {
	Services []profile.Service
	// Nodes returns the addresses of the nodes to call.
	Nodes []string
	// Callers send one call after another, with Pause between.
	Callers int
	Pause   time.Duration
	Timeout time.Duration
	Seed    uint64
}

const (
	writeShare     = 0.3
	maxAnswerBytes = 8 << 10
	maxUploadBytes = 4 << 10
	clientConns    = 256
)

// Run plays callers until the context ends.
func Run(ctx context.Context, config Config, record *history.History) {
	client := &http.Client{Timeout: config.Timeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: clientConns, DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	for i := range config.Callers {
		group.Go(func() {
			c := &caller{config: config, client: client, record: record, number: i,
				random: rand.New(rand.NewPCG(config.Seed, uint64(i)))}
			c.run(ctx)
		})
	}
	group.Wait()
}

type caller struct {
	config Config
	client *http.Client
	record *history.History
	random *rand.Rand
	number int
	count  int
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.one()
		pause := time.Duration((0.5 + c.random.Float64()) * float64(c.config.Pause))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// one sends a call and records its end. Calls under way when the load ends are let
// finish, so that every history is whole.
func (c *caller) one() {
	c.count++
	service := c.config.Services[c.random.IntN(len(c.config.Services))]
	node := c.config.Nodes[c.random.IntN(len(c.config.Nodes))]
	call := history.Call{
		ID:   fmt.Sprintf("s%d-c%d-n%d", c.config.Seed, c.number, c.count),
		Once: c.random.Float64() < writeShare,
		Node: node,
	}
	method, path := http.MethodGet, service.Reads
	var upload []byte
	if call.Once {
		method, path = http.MethodPost, service.Writes
		upload = bytes.Repeat([]byte("x"), c.random.IntN(maxUploadBytes))
	}
	Send(c.client, method, "http://"+node+path+"/"+call.ID, upload, c.random.IntN(maxAnswerBytes)+1, &call)
	c.record.AddCall(call)
}

// Send performs one call and fills in how it ended.
func Send(client *http.Client, method, url string, upload []byte, length int, call *history.Call) {
	call.Start = time.Now()
	defer func() { call.End = time.Now() }()
	request, err := http.NewRequest(method, url, bytes.NewReader(upload))
	if err != nil {
		call.Error = err.Error()
		return
	}
	if call.Once {
		// The bench's own client must not repeat the call either.
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
		judge(call, body, length)
	}
}

// judge compares an answer with the only right one.
func judge(call *history.Call, body []byte, length int) {
	want := standin.AnswerBody(call.ID, length)
	call.Whole = bytes.Equal(body, want)
	if !call.Whole && !strings.HasPrefix(string(want), string(body)) {
		call.Foreign = true
	}
}

// Summary counts how calls ended.
type Summary struct {
	Calls    int
	Answered int
	Refused  int
	Failed   int
}

// Summarize counts the calls of a history.
func Summarize(records history.Records) Summary {
	var s Summary
	for _, call := range records.Calls {
		s.Calls++
		switch {
		case call.Answered() && call.Whole:
			s.Answered++
		case call.Outcome != "":
			s.Refused++
		default:
			s.Failed++
		}
	}
	return s
}
