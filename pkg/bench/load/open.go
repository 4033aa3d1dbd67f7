package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// OpenConfig configures an open-loop load: calls start at random times at a fixed mean
// rate, independent of earlier calls.
type OpenConfig struct {
	// URLs are called in rotation.
	URLs   []string
	Method string
	// Rate is the mean number of calls per second.
	Rate     float64
	Duration time.Duration
	Timeout  time.Duration
	Header   http.Header
	Seed     uint64
}

// OpenResult holds the outcomes and latencies of an open-loop load.
type OpenResult struct {
	Calls    int
	Answered int
	// Refused counts responses other than 200 that have a Request-Outcome header.
	Refused int
	Failed  int
	// Latency holds the latencies of answered calls in microseconds.
	Latency *hdrhistogram.Histogram
	// RefusalLatency holds the latencies of refused calls in microseconds.
	RefusalLatency *hdrhistogram.Histogram
}

const (
	maxMicros         = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	openMaxIdleConns  = 1024
)

// openLoad is the state of a running open-loop load.
type openLoad struct {
	config OpenConfig
	client *http.Client
	mu     sync.Mutex
	result OpenResult
}

// RunOpen runs an open-loop load until its duration or the context ends, and waits for the
// calls in flight.
func RunOpen(ctx context.Context, config OpenConfig) OpenResult {
	o := &openLoad{
		config: config,
		client: &http.Client{Timeout: config.Timeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: openMaxIdleConns, DisableCompression: true,
		}},
		result: OpenResult{
			Latency:        hdrhistogram.New(1, maxMicros, significantDigits),
			RefusalLatency: hdrhistogram.New(1, maxMicros, significantDigits),
		},
	}
	defer o.client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(config.Seed, 5))
	end := time.Now().Add(config.Duration)
	next := time.Now()
	var group sync.WaitGroup
	for number := 0; ctx.Err() == nil && next.Before(end); number++ {
		time.Sleep(time.Until(next))
		scheduled, url := next, config.URLs[number%len(config.URLs)]
		group.Go(func() { o.call(ctx, scheduled, url) })
		next = next.Add(time.Duration(random.ExpFloat64() / config.Rate * float64(time.Second)))
	}
	group.Wait()
	return o.result
}

// call sends one call. Its latency counts from the scheduled start, so that it includes the
// delay of a generator that falls behind.
func (o *openLoad) call(ctx context.Context, scheduled time.Time, url string) {
	request, err := http.NewRequestWithContext(ctx, o.config.Method, url, nil)
	if err != nil {
		o.recordOutcome(scheduled, 0, "", err)
		return
	}
	for name, values := range o.config.Header {
		request.Header[name] = values
	}
	response, err := o.client.Do(request)
	if err != nil {
		o.recordOutcome(scheduled, 0, "", err)
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	o.recordOutcome(scheduled, response.StatusCode, response.Header.Get("Request-Outcome"), err)
}

func (o *openLoad) recordOutcome(scheduled time.Time, status int, outcome string, err error) {
	micros := max(1, time.Since(scheduled).Microseconds())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.result.Calls++
	switch {
	case err == nil && status == http.StatusOK:
		o.result.Answered++
		_ = o.result.Latency.RecordValue(micros)
	case outcome != "":
		o.result.Refused++
		_ = o.result.RefusalLatency.RecordValue(micros)
	default:
		o.result.Failed++
	}
}
