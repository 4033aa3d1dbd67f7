package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by method, host, path with query, and body. It has 40 hexadecimal digits:
// 16 of a fast hash of all but the body, which distinguishes most requests without reading the body, and 24 of
// a cryptographic hash of everything, which prevents forged collisions.
type Fingerprint string

// targetHashDigits is the length of the hash without the body, digestBytes that of the hash of everything.
const (
	targetHashDigits = 16
	digestBytes      = 12
)

// FingerprintOf returns the fingerprint of a request. body may be only the buffered beginning.
func FingerprintOf(r *http.Request, body []byte) Fingerprint {
	target := targetOf(r)
	digest := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(target)))
	digest.Write(length[:])
	digest.Write([]byte(target))
	digest.Write(body)
	return hashTarget(target) + Fingerprint(hex.EncodeToString(digest.Sum(nil)[:digestBytes]))
}

// Short returns the digits that identify the request in logs.
func (f Fingerprint) Short() string {
	if len(f) < targetHashDigits {
		return string(f)
	}
	return string(f[targetHashDigits:])
}

// targetHash returns the digits that are independent of the body.
func (f Fingerprint) targetHash() Fingerprint { return f[:min(targetHashDigits, len(f))] }

// targetOf returns method, host and path with query.
func targetOf(r *http.Request) string {
	return r.Method + " " + strings.ToLower(r.Host) + " " + r.URL.RequestURI()
}

func hashTarget(target string) Fingerprint {
	var targetHash [8]byte
	binary.BigEndian.PutUint64(targetHash[:], xxhash.Sum64String(target))
	return Fingerprint(hex.EncodeToString(targetHash[:]))
}
