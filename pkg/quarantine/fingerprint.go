package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies what a request asks for: method, host, path with query, and body. It is
// 40 hexadecimal digits: 16 of a hash of all but the body, by which most other requests are told
// apart without a look at their bodies, then 24 of a cryptographic hash of all of it, so that
// nobody can make a request that is taken for somebody else's.
type Fingerprint string

// headDigits are those that do not depend on the body, digestBytes those of the hash of all.
const (
	headDigits  = 16
	digestBytes = 12
)

// Of returns the fingerprint of a request with a body, or with what is held of a long one.
func Of(r *http.Request, body []byte) Fingerprint {
	target := targetOf(r)
	digest := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(target)))
	digest.Write(length[:])
	digest.Write([]byte(target))
	digest.Write(body)
	return headOf(target) + Fingerprint(hex.EncodeToString(digest.Sum(nil)[:digestBytes]))
}

// Short returns the digits that tell requests apart in a log.
func (f Fingerprint) Short() string {
	if len(f) < headDigits {
		return string(f)
	}
	return string(f[headDigits:])
}

// head returns the digits that do not depend on the body.
func (f Fingerprint) head() Fingerprint { return f[:min(headDigits, len(f))] }

// targetOf is what a request asks for, without its body.
func targetOf(r *http.Request) string {
	return r.Method + " " + strings.ToLower(r.Host) + " " + r.URL.RequestURI()
}

func headOf(target string) Fingerprint {
	var head [8]byte
	binary.BigEndian.PutUint64(head[:], xxhash.Sum64String(target))
	return Fingerprint(hex.EncodeToString(head[:]))
}
