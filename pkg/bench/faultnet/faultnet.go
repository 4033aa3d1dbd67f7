// Package faultnet puts a fault proxy in front of each link between processes. Tests use
// it to delay, reset or partition links without involving either end. The proxies are
// toxiproxy instances that run in this process.
package faultnet

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// Link identifies a connection by the process names of its two ends.
type Link struct {
	Client string
	Server string
}

// Between matches the links between two sets of processes, in either direction.
func Between(isLeft, isRight func(name string) bool) func(Link) bool {
	return func(l Link) bool {
		return (isLeft(l.Client) && isRight(l.Server)) || (isRight(l.Client) && isLeft(l.Server))
	}
}

// Names returns a match function for the given process names.
func Names(names ...string) func(string) bool {
	return func(name string) bool {
		for _, wanted := range names {
			if name == wanted {
				return true
			}
		}
		return false
	}
}

// Not negates a match function.
func Not(match func(string) bool) func(string) bool {
	return func(name string) bool { return !match(name) }
}

// These constants are toxiproxy's names of a link's directions.
const (
	clientToServer = "upstream"
	serverToClient = "downstream"
)

// Network manages the fault proxies of all links. It is safe for concurrent use.
type Network struct {
	server *toxiproxy.ApiServer

	mu           sync.Mutex
	proxies      map[Link]*toxiproxy.Proxy
	activeToxics map[Link][]string
}

// New returns a network without links. It turns off the global log of zerolog, which some faults write to.
func New() *Network {
	zerolog.SetGlobalLevel(zerolog.Disabled)
	return &Network{
		server:  toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.New(io.Discard)),
		proxies: map[Link]*toxiproxy.Proxy{}, activeToxics: map[Link][]string{},
	}
}

// ProxyFor returns the address of a fault proxy between a client and the server at address.
// It creates the proxy on the first call for this pair.
func (n *Network) ProxyFor(client, server, address string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := Link{Client: client, Server: server}
	if proxy, found := n.proxies[link]; found {
		return proxy.Listen, nil
	}
	proxy := toxiproxy.NewProxy(n.server, client+"-"+server, "127.0.0.1:0", address)
	if err := proxy.Start(); err != nil {
		return "", fmt.Errorf("fault proxy from %s to %s: %w", client, server, err)
	}
	n.proxies[link] = proxy
	return proxy.Listen, nil
}

// anyClient is the client name of a link that is shared by all clients.
const anyClient = "any"

// ListenFor opens a fault proxy at the listen address that all clients share to reach the
// server at address.
func (n *Network) ListenFor(server, listen, address string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	proxy := toxiproxy.NewProxy(n.server, anyClient+"-"+server, listen, address)
	if err := proxy.Start(); err != nil {
		return fmt.Errorf("fault proxy before %s: %w", server, err)
	}
	n.proxies[Link{Client: anyClient, Server: server}] = proxy
	return nil
}

// ToServers matches the links to the given servers.
func ToServers(servers ...string) func(Link) bool {
	match := Names(servers...)
	return func(l Link) bool { return match(l.Server) }
}

// DelayPermanently adds a delay to each direction of the matching links. Heal keeps it.
func (n *Network) DelayPermanently(match func(Link) bool, delay time.Duration) error {
	// Toxiproxy has millisecond resolution; shorter delays are rounded up to 1 ms.
	millis := max(1, delay.Milliseconds())
	return n.addPermanently(match, "latency", fmt.Sprintf(`{"latency":%d}`, millis))
}

// addPermanently adds a toxiproxy fault that Heal keeps to both directions of the matching links.
func (n *Network) addPermanently(match func(Link) bool, kind, attributes string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link, proxy := range n.proxies {
		if !match(link) {
			continue
		}
		for _, stream := range []string{clientToServer, serverToClient} {
			text := fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, stream, attributes)
			if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
				return fmt.Errorf("add %s to %s: %w", kind, proxy.Name, err)
			}
		}
	}
	return nil
}

// NarrowPermanently limits the rate of each connection over the matching links, in each direction. Heal keeps the limit.
func (n *Network) NarrowPermanently(match func(Link) bool, kilobytesPerSecond int) error {
	attributes := fmt.Sprintf(`{"rate":%d}`, kilobytesPerSecond)
	return n.addPermanently(match, "bandwidth", attributes)
}

// DelayWithJitter adds a delay with jitter to each direction of the matching links until Heal.
func (n *Network) DelayWithJitter(match func(Link) bool, delay time.Duration) error {
	attributes := fmt.Sprintf(`{"latency":%d,"jitter":%d}`, max(1, delay.Milliseconds()), delay.Milliseconds()/2)
	return n.addToxics(match, "latency", attributes, clientToServer, serverToClient)
}

// Reset closes existing and new connections on the matching links with a TCP reset until
// Heal.
func (n *Network) Reset(match func(Link) bool) error {
	return n.addToxics(match, "reset_peer", `{"timeout":0}`, clientToServer, serverToClient)
}

// Cut blocks both directions of the matching links until Heal: connections stay open and
// new ones are accepted, but no data passes.
func (n *Network) Cut(match func(Link) bool) error {
	return n.cut(match, clientToServer, serverToClient)
}

// CutResponses blocks the data that servers send on the matching links until Heal: requests
// arrive, but responses are lost.
func (n *Network) CutResponses(match func(Link) bool) error {
	return n.cut(match, serverToClient)
}

// CutRequests blocks the data that clients send on the matching links until Heal.
func (n *Network) CutRequests(match func(Link) bool) error {
	return n.cut(match, clientToServer)
}

func (n *Network) cut(match func(Link) bool, streams ...string) error {
	return n.addToxics(match, "timeout", `{"timeout":0}`, streams...)
}

// addToxics adds a toxiproxy fault to the matching links that have none yet.
func (n *Network) addToxics(match func(Link) bool, kind, attributes string, streams ...string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link, proxy := range n.proxies {
		if !match(link) || len(n.activeToxics[link]) > 0 {
			continue
		}
		for _, stream := range streams {
			name := kind + "-" + stream
			text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":%s}`, name, kind, stream, attributes)
			if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
				return fmt.Errorf("disturb %s: %w", proxy.Name, err)
			}
			n.activeToxics[link] = append(n.activeToxics[link], name)
		}
	}
	return nil
}

// Heal removes all faults except those of DelayPermanently. Connections on links that were cut are
// closed.
func (n *Network) Heal() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link, names := range n.activeToxics {
		for _, name := range names {
			if err := n.proxies[link].Toxics.RemoveToxic(context.Background(), name); err != nil {
				return fmt.Errorf("heal %s: %w", n.proxies[link].Name, err)
			}
		}
		delete(n.activeToxics, link)
	}
	return nil
}

// Stop closes all fault proxies.
func (n *Network) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, proxy := range n.proxies {
		proxy.Stop()
	}
}
