// Package faultnet puts a fault proxy before each link between processes, so that links
// can be slowed and cut, one way or both, without a word to either end. The proxies run
// in this process (library toxiproxy).
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

// Link names the two ends of a connection.
type Link struct {
	Client string
	Server string
}

// Between matches the links that lead from one set of processes to the other, whoever
// of the two opened them.
func Between(isLeft, isRight func(name string) bool) func(Link) bool {
	return func(l Link) bool {
		return (isLeft(l.Client) && isRight(l.Server)) || (isRight(l.Client) && isLeft(l.Server))
	}
}

// Names matches the given names.
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

// Not inverts a match of names.
func Not(match func(string) bool) func(string) bool {
	return func(name string) bool { return !match(name) }
}

// Streams of a link, as the library names them.
const (
	fromClient = "upstream"
	fromServer = "downstream"
)

// Network holds the fault proxies. It is safe for concurrent use.
type Network struct {
	server *toxiproxy.ApiServer

	mu      sync.Mutex
	proxies map[Link]*toxiproxy.Proxy
	cuts    map[Link][]string
}

// New returns a network without links.
func New() *Network {
	return &Network{
		server:  toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.New(io.Discard)),
		proxies: map[Link]*toxiproxy.Proxy{}, cuts: map[Link][]string{},
	}
}

// Through opens a fault proxy before an address and returns where its client connects.
func (n *Network) Through(client, server, address string) (string, error) {
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

// anyClient is the client of a link that everybody uses.
const anyClient = "any"

// Before opens a fault proxy at an address, through which everybody reaches a server.
func (n *Network) Before(server, listen, address string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	proxy := toxiproxy.NewProxy(n.server, anyClient+"-"+server, listen, address)
	if err := proxy.Start(); err != nil {
		return fmt.Errorf("fault proxy before %s: %w", server, err)
	}
	n.proxies[Link{Client: anyClient, Server: server}] = proxy
	return nil
}

// To matches the links to the given servers.
func To(servers ...string) func(Link) bool {
	match := Names(servers...)
	return func(l Link) bool { return match(l.Server) }
}

// Delay adds a one-way delay to each direction of the links that match.
func (n *Network) Delay(match func(Link) bool, delay time.Duration) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link, proxy := range n.proxies {
		if !match(link) {
			continue
		}
		for _, stream := range []string{fromClient, fromServer} {
			// The library counts in milliseconds; less than one is rounded up.
			millis := max(1, delay.Milliseconds())
			text := fmt.Sprintf(`{"type":"latency","stream":%q,"attributes":{"latency":%d}}`, stream, millis)
			if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
				return fmt.Errorf("delay %s: %w", proxy.Name, err)
			}
		}
	}
	return nil
}

// Slow delays both directions of the links that match, each way, until Heal.
func (n *Network) Slow(match func(Link) bool, delay time.Duration) error {
	attributes := fmt.Sprintf(`{"latency":%d,"jitter":%d}`, max(1, delay.Milliseconds()), delay.Milliseconds()/2)
	return n.disturb(match, "latency", attributes, fromClient, fromServer)
}

// Reset ends the connections of the links that match with a reset, new ones too, until Heal.
func (n *Network) Reset(match func(Link) bool) error {
	return n.disturb(match, "reset_peer", `{"timeout":0}`, fromClient, fromServer)
}

// Cut silences the links that match in both directions: connections stay open and new
// ones are accepted, but nothing comes through.
func (n *Network) Cut(match func(Link) bool) error {
	return n.cut(match, fromClient, fromServer)
}

// CutAnswers silences what servers send on the links that match: requests arrive, their
// answers are lost.
func (n *Network) CutAnswers(match func(Link) bool) error {
	return n.cut(match, fromServer)
}

// CutRequests silences what clients send on the links that match.
func (n *Network) CutRequests(match func(Link) bool) error {
	return n.cut(match, fromClient)
}

func (n *Network) cut(match func(Link) bool, streams ...string) error {
	return n.disturb(match, "timeout", `{"timeout":0}`, streams...)
}

// disturb adds a fault of the library to the links that match and have none.
func (n *Network) disturb(match func(Link) bool, kind, attributes string, streams ...string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link, proxy := range n.proxies {
		if !match(link) || len(n.cuts[link]) > 0 {
			continue
		}
		for _, stream := range streams {
			name := kind + "-" + stream
			text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":%s}`, name, kind, stream, attributes)
			if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
				return fmt.Errorf("disturb %s: %w", proxy.Name, err)
			}
			n.cuts[link] = append(n.cuts[link], name)
		}
	}
	return nil
}

// Heal ends all cuts and other faults but Delay. Connections that were cut break, as they would after a long one.
func (n *Network) Heal() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link, names := range n.cuts {
		for _, name := range names {
			if err := n.proxies[link].Toxics.RemoveToxic(context.Background(), name); err != nil {
				return fmt.Errorf("heal %s: %w", n.proxies[link].Name, err)
			}
		}
		delete(n.cuts, link)
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
