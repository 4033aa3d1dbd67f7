package exchange

import (
	"io"
	"sync"
	"time"
)

const (
	// RequestShare of the link's rate is what all paced bodies of requests together may take, unless
	// one would come too late; AnswerShare is that for answers, of which a link carries more.
	RequestShare = 0.35
	AnswerShare  = 0.92
	// pacedPiece is how long a piece of a paced body may keep the link busy: other messages
	// wait no longer for it.
	pacedPiece    = 6 * time.Millisecond
	minPacedBytes = 4 << 10
)

// Pacer spreads large bodies over time. On a narrow link a body that is written at once
// holds up every small message behind it; in pieces, they go in between. It is safe for
// concurrent use.
type Pacer struct {
	rate  float64
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
	return &Pacer{
		rate:  share * bytesPerSecond,
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
	return &pacedBody{ReadCloser: body, pacer: p, size: size, start: p.now(), within: within}
}

// Answer returns a body of size bytes that is read in pieces once those before it have been read, and at
// the latest evenly over within. Answers one after the other are there sooner, in the mean, than answers
// side by side.
func (p *Pacer) Answer(body io.ReadCloser, size int, within time.Duration) io.ReadCloser {
	if p == nil || size <= p.piece {
		return body
	}
	return &queuedBody{ReadCloser: body, pacer: p, size: size, due: p.reserve(size), start: p.now(), within: within}
}

// giveBack takes back what was reserved and is not used.
func (p *Pacer) giveBack(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free -= time.Duration(float64(n) / p.rate * float64(time.Second))
}

// reserve takes the link's paced share for a piece and returns when that is due.
func (p *Pacer) reserve(n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := max(p.free, p.now())
	p.free = due + time.Duration(float64(n)/p.rate*float64(time.Second))
	return due
}

// pacedBody is a body on its way.
type pacedBody struct {
	io.ReadCloser
	pacer  *Pacer
	size   int
	sent   int
	start  time.Duration
	within time.Duration
}

// Read implements io.Reader. It returns one piece when it is due.
func (b *pacedBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf[:min(len(buf), b.pacer.piece)])
	if n == 0 {
		return n, err
	}
	latest := b.start + time.Duration(float64(b.within)*float64(b.sent)/float64(b.size))
	due := min(b.pacer.reserve(n), latest)
	b.sent += n
	if wait := due - b.pacer.now(); wait > 0 {
		b.pacer.sleep(wait)
	}
	return n, err
}

// queuedBody is a body whose time on the link begins when that of those before it ends.
type queuedBody struct {
	io.ReadCloser
	pacer  *Pacer
	size   int
	sent   int
	due    time.Duration
	start  time.Duration
	within time.Duration
	closed sync.Once
}

// Read implements io.Reader. It returns one piece when it is due.
func (b *queuedBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf[:min(len(buf), b.pacer.piece)])
	if n == 0 {
		return n, err
	}
	latest := b.start + time.Duration(float64(b.within)*float64(b.sent)/float64(b.size))
	due := b.due + time.Duration(float64(b.sent)/b.pacer.rate*float64(time.Second))
	b.sent += n
	if wait := min(due, latest) - b.pacer.now(); wait > 0 {
		b.pacer.sleep(wait)
	}
	return n, err
}

// Close implements io.Closer. What was not read leaves its time to those behind it.
func (b *queuedBody) Close() error {
	b.closed.Do(func() { b.pacer.giveBack(max(0, b.size-b.sent)) })
	return b.ReadCloser.Close()
}
