package baseline

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"
)

// ReverseOptions are the flags of the bare reverse proxy.
type ReverseOptions struct {
	Listen string `long:"listen" required:"yes" description:"address to listen on"`
	Target string `long:"target" required:"yes" description:"address of the one back end"`
}

const reverseConnections = 256

// ServeReverse runs the standard library's reverse proxy in front of one back end until
// it fails: what a node's added time is compared with.
func ServeReverse(options ReverseOptions) error {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: options.Target})
	proxy.Transport = &http.Transport{
		MaxIdleConnsPerHost: reverseConnections, MaxConnsPerHost: reverseConnections, DisableCompression: true,
	}
	server := &http.Server{Addr: options.Listen, Handler: proxy, ReadHeaderTimeout: 10 * time.Second}
	return fmt.Errorf("bare proxy: %w", server.ListenAndServe())
}
