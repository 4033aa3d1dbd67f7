package baseline

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"
)

// ReverseProxyOptions are the command-line flags of the bare reverse proxy.
type ReverseProxyOptions struct {
	Listen string `long:"listen" required:"yes" description:"address to listen on"`
	Target string `long:"target" required:"yes" description:"address of the one back end"`
}

const maxReverseProxyConns = 256

// ServeReverseProxy runs the standard library's reverse proxy in front of one back end
// until it fails. Its latency is the reference for the latency that a node adds.
func ServeReverseProxy(options ReverseProxyOptions) error {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: options.Target})
	proxy.Transport = &http.Transport{
		MaxIdleConnsPerHost: maxReverseProxyConns, MaxConnsPerHost: maxReverseProxyConns, DisableCompression: true,
	}
	server := &http.Server{Addr: options.Listen, Handler: proxy, ReadHeaderTimeout: 10 * time.Second}
	return fmt.Errorf("serve bare reverse proxy: %w", server.ListenAndServe())
}
