package exchange

import (
	"io"
	"sync"
	"time"
)

const (
	// RequestShare of the link's rate is what all paced bodies of requests together may take, unless
	// one would come too late.
	RequestShare = 0.35
	// Answers get what all else leaves of answerUsable of the link's rate, between these shares: a link
	// carries more of them than of requests. The rest is for packets' own heads.
	answerUsable   = 0.95
	minAnswerShare = 0.4
	maxAnswerShare = 0.92
	// pacedPiece is how long a piece of a paced body may keep the link busy: other messages
	// wait no longer for it.
	pacedPiece    = 6 * time.Millisecond
	minPacedBytes = 4 << 10
)

// Pacer spreads large bodies over time. On a narrow link a body that is written at once
// holds up every small message behind it; in pieces, they go in between. It is safe for
// concurrent use.
type Pacer struct {
	// rate returns how many bytes a second all bodies together may take.
	rate  func(now time.Duration) float64
	piece int
	now   func() time.Duration
	sleep func(time.Duration)

	mu sync.Mutex
	// free is when the paced share of the link is free again.
	free time.Duration
}

// NewPacer returns a pacer that gives all bodies together a share of a link of so many bits a second.
// now reads the process's monotonic clock.
func NewPacer(bitsPerSecond, share float64, now func() time.Duration) *Pacer {
	bytesPerSecond := bitsPerSecond / 8
	return newPacer(bytesPerSecond, func(time.Duration) float64 { return share * bytesPerSecond }, now)
}

// NewAnswerPacer returns a pacer for large answers on a link of so many bits a second. others returns
// how many bytes a second all else sends.
func NewAnswerPacer(bitsPerSecond float64, others func(now time.Duration) float64, now func() time.Duration) *Pacer {
	bytesPerSecond := bitsPerSecond / 8
	return newPacer(bytesPerSecond, func(at time.Duration) float64 {
		left := answerUsable*bytesPerSecond - others(at)
		return min(maxAnswerShare*bytesPerSecond, max(minAnswerShare*bytesPerSecond, left))
	}, now)
}

func newPacer(bytesPerSecond float64, rate func(now time.Duration) float64, now func() time.Duration) *Pacer {
	return &Pacer{
		rate:  rate,
		piece: max(minPacedBytes, int(bytesPerSecond*pacedPiece.Seconds())),
		now:   now, sleep: time.Sleep,
	}
}

// Body returns a body of size bytes that is read in pieces, and at the latest evenly over
// within.
func (p *Pacer) Body(body io.ReadCloser, size int, within time.Duration) io.ReadCloser {
	if p == nil || size <= p.piece {
		return body
	}
	due := func(n int) time.Duration {
		due, _ := p.reserve(n)
		return due
	}
	return &pacedBody{ReadCloser: body, pacer: p, size: size, start: p.now(), within: within, due: due}
}

// Answer returns a body of size bytes that is read in pieces once those before it have been read, and at
// the latest evenly over within. Answers one after the other are there sooner, in the mean, than answers
// side by side.
func (p *Pacer) Answer(body io.ReadCloser, size int, within time.Duration) io.ReadCloser {
	if p == nil || size <= p.piece {
		return body
	}
	first, takes := p.reserve(size)
	b := &queuedBody{pacedBody: pacedBody{ReadCloser: body, pacer: p, size: size, start: p.now(), within: within}, takes: takes}
	b.due = func(int) time.Duration { return first + b.part(b.sent) }
	return b
}

// giveBack takes back time that was reserved and is not used.
func (p *Pacer) giveBack(unused time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free -= unused
}

// reserve takes the link's paced share for so many bytes and returns when they are due and for how long.
func (p *Pacer) reserve(n int) (due, takes time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	due = max(p.free, now)
	takes = time.Duration(float64(n) / p.rate(now) * float64(time.Second))
	p.free = due + takes
	return due, takes
}

// pacedBody is a body on its way, read in pieces.
type pacedBody struct {
	io.ReadCloser
	pacer  *Pacer
	size   int
	sent   int
	start  time.Duration
	within time.Duration
	// due returns when the next piece, of n bytes, may go.
	due func(n int) time.Duration
}

// Read implements io.Reader. It returns one piece when it is due, and no later than in step with within.
func (b *pacedBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf[:min(len(buf), b.pacer.piece)])
	if n == 0 {
		return n, err
	}
	latest := b.start + time.Duration(float64(b.within)*float64(b.sent)/float64(b.size))
	due := b.due(n)
	b.sent += n
	if wait := min(due, latest) - b.pacer.now(); wait > 0 {
		b.pacer.sleep(wait)
	}
	return n, err
}

// queuedBody is a paced body whose time on the link begins when that of those before it ends.
type queuedBody struct {
	pacedBody
	takes  time.Duration
	closed sync.Once
}

// part is how long so many of the body's bytes take.
func (b *queuedBody) part(n int) time.Duration {
	return time.Duration(float64(b.takes) * float64(n) / float64(b.size))
}

// Close implements io.Closer. What was not read leaves its time to those behind it.
func (b *queuedBody) Close() error {
	b.closed.Do(func() { b.pacer.giveBack(b.part(max(0, b.size-b.sent))) })
	return b.ReadCloser.Close()
}
