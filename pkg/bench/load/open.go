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

// OpenConfig describes a load whose calls begin at random moments at a fixed rate,
// whether or not earlier ones have ended.
type OpenConfig struct {
	// URLs are called in turn.
	URLs     []string
	Method   string
	Rate     float64
	Duration time.Duration
	Timeout  time.Duration
	Header   http.Header
	Seed     uint64
}

// OpenResult is how the calls of an open load ended.
type OpenResult struct {
	Calls    int
	Answered int
	// Refused calls were answered by a node with an outcome.
	Refused int
	Failed  int
	// Latency holds the answered calls in microseconds.
	Latency *hdrhistogram.Histogram
	// RefusalLatency holds the refused ones.
	RefusalLatency *hdrhistogram.Histogram
}

const (
	highestMicros   = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
	openConnections = 1024
)

// open is one open load under way.
type open struct {
	config OpenConfig
	client *http.Client
	mu     sync.Mutex
	result OpenResult
}

// RunOpen runs an open load to its end.
func RunOpen(ctx context.Context, config OpenConfig) OpenResult {
	o := &open{
		config: config,
		client: &http.Client{Timeout: config.Timeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: openConnections, DisableCompression: true,
		}},
		result: OpenResult{
			Latency:        hdrhistogram.New(1, highestMicros, histogramDigits),
			RefusalLatency: hdrhistogram.New(1, highestMicros, histogramDigits),
		},
	}
	defer o.client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(config.Seed, 5))
	end := time.Now().Add(config.Duration)
	next := time.Now()
	var group sync.WaitGroup
	for number := 0; ctx.Err() == nil && next.Before(end); number++ {
		time.Sleep(time.Until(next))
		due, url := next, config.URLs[number%len(config.URLs)]
		group.Go(func() { o.call(ctx, due, url) })
		next = next.Add(time.Duration(random.ExpFloat64() / config.Rate * float64(time.Second)))
	}
	group.Wait()
	return o.result
}

// call is timed from when it was due, so that a generator that falls behind shows.
func (o *open) call(ctx context.Context, due time.Time, url string) {
	request, err := http.NewRequestWithContext(ctx, o.config.Method, url, nil)
	if err != nil {
		o.end(due, 0, "", err)
		return
	}
	for name, values := range o.config.Header {
		request.Header[name] = values
	}
	response, err := o.client.Do(request)
	if err != nil {
		o.end(due, 0, "", err)
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	o.end(due, response.StatusCode, response.Header.Get("Request-Outcome"), err)
}

func (o *open) end(due time.Time, status int, outcome string, err error) {
	micros := max(1, time.Since(due).Microseconds())
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
