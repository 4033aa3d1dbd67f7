package quarantine

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

func TestFingerprintDependsOnEveryPart(t *testing.T) {
	is := is.New(t)
	of := func(method, target, body string) Fingerprint {
		return FingerprintOf(httptest.NewRequest(method, target, nil), []byte(body))
	}
	base := of("POST", "http://shop.example/order/a?x=1", "body")
	is.Equal(base, of("POST", "http://SHOP.example/order/a?x=1", "body")) // host names are case-insensitive
	is.Equal(len(base), targetHashDigits+2*digestBytes)
	for _, other := range []Fingerprint{
		of("PUT", "http://shop.example/order/a?x=1", "body"),
		of("POST", "http://other.example/order/a?x=1", "body"),
		of("POST", "http://shop.example/order/b?x=1", "body"),
		of("POST", "http://shop.example/order/a?x=2", "body"),
		of("POST", "http://shop.example/order/a?x=1", "bodY"),
	} {
		is.True(other != base)
		is.True(other.Short() != base.Short())
	}
	is.Equal(of("POST", "http://shop.example/order/a?x=1", "").targetHash(), base.targetHash()) // the body doesn't change the target hash
}
