package exchange

import (
	"io"
	"math"
	"sync"
	"time"
)

const (
	// RequestShare is the share of the link's rate for all paced request bodies together. Bodies
	// that would miss their deadline exceed it.
	RequestShare = 0.35
	// usableLinkShare is the share of the link's rate that is not packet overhead. Large responses get the part
	// of it that other traffic leaves, at least minResponseShare and at most maxResponseShare.
	usableLinkShare  = 0.95
	minResponseShare = 0.4
	maxResponseShare = 0.92
	// minStreamShare is the share of the link's rate that a body without a known size gets at least.
	minStreamShare = 0.1
	// maxPieceTime is how long a piece of a paced body may occupy the link, which bounds the delay
	// of other messages.
	maxPieceTime  = 6 * time.Millisecond
	minPieceBytes = 4 << 10
	// streamBlockTime is the time for which a body without a known size reserves the link at once.
	streamBlockTime = 50 * time.Millisecond
)

// Pacer spreads large bodies over time, so that small messages on a narrow link are sent between
// their pieces instead of queueing behind whole bodies. The link time of a body is how long its bytes take
// at the paced rate. A Pacer is safe for concurrent use.
type Pacer struct {
	// rate returns the total rate of all paced bodies in bytes per second.
	rate func(now time.Duration) float64
	// linkRate is the link's rate in bytes per second.
	linkRate   float64
	pieceBytes int
	now        func() time.Duration
	sleep      func(time.Duration)

	mu sync.Mutex
	// freeAt is when the reserved part of the paced share ends.
	freeAt time.Duration
}

// NewPacer returns a pacer that limits all bodies together to a share of a link's rate in bits per
// second. now reads the process's monotonic clock.
func NewPacer(bitsPerSecond, share float64, now func() time.Duration) *Pacer {
	bytesPerSecond := bitsPerSecond / 8
	return newPacer(bytesPerSecond, func(time.Duration) float64 { return share * bytesPerSecond }, now)
}

// NewResponsePacer returns a pacer for large responses on a link with a rate in bits per second.
// otherTraffic returns the rate of all other traffic in bytes per second.
func NewResponsePacer(bitsPerSecond float64, otherTraffic func(now time.Duration) float64, now func() time.Duration) *Pacer {
	bytesPerSecond := bitsPerSecond / 8
	return newPacer(bytesPerSecond, func(at time.Duration) float64 {
		remaining := usableLinkShare*bytesPerSecond - otherTraffic(at)
		return min(maxResponseShare*bytesPerSecond, max(minResponseShare*bytesPerSecond, remaining))
	}, now)
}

func newPacer(bytesPerSecond float64, rate func(now time.Duration) float64, now func() time.Duration) *Pacer {
	return &Pacer{
		rate: rate, linkRate: bytesPerSecond,
		pieceBytes: max(minPieceBytes, int(bytesPerSecond*maxPieceTime.Seconds())),
		now:        now, sleep: time.Sleep,
	}
}

// Body returns a body of size bytes that is read in paced pieces. It is never slower than an even
// spread over maxDuration.
func (p *Pacer) Body(body io.ReadCloser, size int, maxDuration time.Duration) io.ReadCloser {
	if p == nil || size <= p.pieceBytes {
		return body
	}
	due := func(n int) time.Duration {
		due, _ := p.reserve(n)
		return due
	}
	return &pacedBody{ReadCloser: body, pacer: p, size: size, start: p.now(), maxDuration: maxDuration, due: due}
}

// TransferTime returns how long a body takes at the link's rate, zero without a pacer.
func (p *Pacer) TransferTime(size int64) time.Duration {
	if p == nil {
		return 0
	}
	return time.Duration(min(float64(size)/p.linkRate, math.MaxInt32) * float64(time.Second))
}

// Stream returns a body of unknown size that is read in paced pieces. Its link time is reserved in blocks.
func (p *Pacer) Stream(body io.ReadCloser) io.ReadCloser {
	if p == nil {
		return body
	}
	return &pacedStream{ReadCloser: body, pacer: p, size: max(minPieceBytes, int(p.linkRate*streamBlockTime.Seconds()))}
}

// pacedStream is a body of unknown size that is read in paced pieces.
type pacedStream struct {
	io.ReadCloser
	pacer *Pacer
	// start is when the link time of the current block starts, linkTime how long it lasts. size is the size of a block,
	// sent how many bytes of the current one were read.
	start, linkTime time.Duration
	size, sent      int
	closed          sync.Once
}

// Read implements io.Reader. It returns one piece once it is due.
func (b *pacedStream) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf[:min(len(buf), b.pacer.pieceBytes)])
	if n == 0 {
		return n, err
	}
	if b.linkTime == 0 || b.sent >= b.size {
		b.startBlock()
	}
	due := b.start + b.linkTimeOf(b.sent)
	b.sent += n
	if wait := due - b.pacer.now(); wait > 0 {
		b.pacer.sleep(wait)
	}
	return n, err
}

// startBlock reserves the link time of the next block. It starts once it is due, or once minStreamShare requires it.
func (b *pacedStream) startBlock() {
	due, linkTime := b.pacer.reserve(b.size)
	longest := time.Duration(float64(b.size) / (minStreamShare * b.pacer.linkRate) * float64(time.Second))
	latest := b.pacer.now() + max(0, longest-linkTime)
	b.start, b.linkTime, b.sent = min(due, latest), linkTime, 0
}

// linkTimeOf returns the link time of n bytes of the current block.
func (b *pacedStream) linkTimeOf(n int) time.Duration {
	return time.Duration(float64(b.linkTime) * float64(n) / float64(b.size))
}

// Close implements io.Closer. It releases the link time of the bytes that were not read.
func (b *pacedStream) Close() error {
	b.closed.Do(func() { b.pacer.release(b.linkTimeOf(max(0, b.size-b.sent))) })
	return b.ReadCloser.Close()
}

// WrapResponse returns a response body of size bytes whose paced pieces follow those of the bodies
// reserved before it. It is never slower than an even spread over maxDuration. Sending responses one
// after the other lowers their mean completion time.
func (p *Pacer) WrapResponse(body io.ReadCloser, size int, maxDuration time.Duration) io.ReadCloser {
	if p == nil || size <= p.pieceBytes {
		return body
	}
	first, linkTime := p.reserve(size)
	b := &queuedBody{pacedBody: pacedBody{ReadCloser: body, pacer: p, size: size, start: p.now(), maxDuration: maxDuration}, linkTime: linkTime}
	b.due = func(int) time.Duration { return first + b.linkTimeOf(b.sent) }
	return b
}

// release returns reserved link time that is not used.
func (p *Pacer) release(unused time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeAt -= unused
}

// reserve reserves link time for n bytes. It returns when that time starts and how long it lasts.
func (p *Pacer) reserve(n int) (due, linkTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	due = max(p.freeAt, now)
	linkTime = time.Duration(float64(n) / p.rate(now) * float64(time.Second))
	p.freeAt = due + linkTime
	return due, linkTime
}

// pacedBody is a body that is read in paced pieces.
type pacedBody struct {
	io.ReadCloser
	pacer       *Pacer
	size        int
	sent        int
	start       time.Duration
	maxDuration time.Duration
	// due returns when the next piece, of n bytes, may be sent.
	due func(n int) time.Duration
}

// Read implements io.Reader. It returns one piece once it is due or once an even spread over maxDuration
// requires it, whichever is earlier.
func (b *pacedBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf[:min(len(buf), b.pacer.pieceBytes)])
	if n == 0 {
		return n, err
	}
	latest := b.start + time.Duration(float64(b.maxDuration)*float64(b.sent)/float64(b.size))
	due := b.due(n)
	b.sent += n
	if wait := min(due, latest) - b.pacer.now(); wait > 0 {
		b.pacer.sleep(wait)
	}
	return n, err
}

// queuedBody is a paced body whose link time starts when that of the bodies before it ends.
type queuedBody struct {
	pacedBody
	linkTime time.Duration
	closed   sync.Once
}

// linkTimeOf returns the link time of n bytes of the body.
func (b *queuedBody) linkTimeOf(n int) time.Duration {
	return time.Duration(float64(b.linkTime) * float64(n) / float64(b.size))
}

// Close implements io.Closer. It releases the link time of the bytes that were not read.
func (b *queuedBody) Close() error {
	b.closed.Do(func() { b.pacer.release(b.linkTimeOf(max(0, b.size-b.sent))) })
	return b.ReadCloser.Close()
}
