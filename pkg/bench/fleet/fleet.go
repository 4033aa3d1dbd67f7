package fleet

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/settings"

	"github.com/pelletier/go-toml/v2"
)

// Config describes a fleet.
type Config struct {
	// Folder is the directory for settings, data and logs. New creates it.
	Folder   string
	Cluster  string
	Zones    []string
	Replicas int
	// Relays is the number of relays, distributed over the zones.
	Relays  int
	Proxies int
	// Groups are assigned to the proxies in rotation. If empty, proxies have no group.
	Groups []string
	// ProxyData gives each proxy a data folder.
	ProxyData   bool
	PlatformURL string
	SourceURL   string
	// ProxyFor, if set, returns the address that the client uses to reach the server at
	// address, for example that of a fault proxy.
	ProxyFor func(client, server, address string) (string, error)
}

// Node is a control replica, relay or proxy process with its addresses.
type Node struct {
	*Process
	Zone    string
	Group   string
	Address string
	Admin   string
}

// Fleet is a system of control replicas, relays and proxies on this machine.
type Fleet struct {
	Config    Config
	Controls  []*Node
	Relays    []*Node
	Proxies   []*Node
	KeyFile   string
	key       ed25519.PrivateKey
	publicKey string
	binary    string
	ports     *portAllocator
}

// New assigns names and addresses, generates the approval key and writes the settings
// files. Start starts the processes.
func New(config Config) (*Fleet, error) {
	binary, err := FindBinary()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(config.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("create fleet folder: %w", err)
	}
	f := &Fleet{Config: config, binary: binary, ports: newPortAllocator(), KeyFile: filepath.Join(config.Folder, "approval.key")}
	if f.publicKey, err = bundle.GenerateKeyFile(f.KeyFile); err != nil {
		return nil, err
	}
	if f.key, err = bundle.LoadKeyFile(f.KeyFile); err != nil {
		return nil, err
	}
	return f, f.createNodes()
}

func (f *Fleet) createNodes() error {
	for i := range f.Config.Replicas {
		if err := f.addNode(&f.Controls, fmt.Sprintf("control-%d", i+1), i); err != nil {
			return err
		}
	}
	for i := range f.Config.Relays {
		if err := f.addNode(&f.Relays, fmt.Sprintf("relay-%d", i+1), i); err != nil {
			return err
		}
	}
	for i := range f.Config.Proxies {
		if err := f.addNode(&f.Proxies, fmt.Sprintf("proxy-%d", i+1), i); err != nil {
			return err
		}
	}
	return f.writeSettings()
}

func (f *Fleet) addNode(list *[]*Node, name string, index int) error {
	address, err := f.ports.address()
	if err != nil {
		return err
	}
	admin, err := f.ports.address()
	if err != nil {
		return err
	}
	node := &Node{
		Process: &Process{Name: name, Log: filepath.Join(f.Config.Folder, name+".log"), binary: f.binary},
		Zone:    f.Config.Zones[index%len(f.Config.Zones)], Address: address, Admin: admin,
	}
	if len(f.Config.Groups) > 0 {
		node.Group = f.Config.Groups[index%len(f.Config.Groups)]
	}
	*list = append(*list, node)
	return nil
}

func (f *Fleet) commonSettings(node *Node) settings.Common {
	return settings.Common{
		Cluster: f.Config.Cluster, Name: node.Name, Zone: node.Zone,
		AdminListen: node.Admin, ApprovalKeys: []string{f.publicKey},
	}
}

func (f *Fleet) writeSettings() error {
	for _, node := range f.Controls {
		peers, err := f.peers(node, f.Controls)
		if err != nil {
			return err
		}
		config := settings.Control{
			Common: f.commonSettings(node), Data: f.DataFolder(node.Name), Listen: node.Address, Replicas: peers,
			PlatformURL: f.Config.PlatformURL, SourceURL: f.Config.SourceURL,
		}
		if err := f.writeNodeSettings(node, "control", config); err != nil {
			return err
		}
	}
	for _, node := range f.Relays {
		peers, err := f.peers(node, f.Controls)
		if err != nil {
			return err
		}
		if err := f.writeNodeSettings(node, "relay", settings.Relay{Common: f.commonSettings(node), Listen: node.Address, Controls: peers}); err != nil {
			return err
		}
	}
	for _, node := range f.Proxies {
		if err := f.writeProxySettings(node); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) writeProxySettings(node *Node) error {
	peers, err := f.peers(node, f.Relays)
	if err != nil {
		return err
	}
	config := settings.Proxy{Common: f.commonSettings(node), Group: node.Group, Listen: node.Address, Relays: peers}
	if f.Config.ProxyData {
		config.Data = f.DataFolder(node.Name)
	}
	return f.writeNodeSettings(node, "proxy", config)
}

// peers lists servers with the addresses that the client uses for them.
func (f *Fleet) peers(client *Node, servers []*Node) ([]settings.Peer, error) {
	var peers []settings.Peer
	for _, server := range servers {
		address := server.Address
		if f.Config.ProxyFor != nil && client.Name != server.Name {
			var err error
			if address, err = f.Config.ProxyFor(client.Name, server.Name, address); err != nil {
				return nil, err
			}
		}
		peers = append(peers, settings.Peer{Name: server.Name, Address: address, Zone: server.Zone, Operator: server.Admin})
	}
	return peers, nil
}

// DataFolder returns the directory for the persistent state of a process.
func (f *Fleet) DataFolder(name string) string {
	return filepath.Join(f.Config.Folder, "data", name)
}

func (f *Fleet) writeNodeSettings(node *Node, role string, config any) error {
	text, err := toml.Marshal(config)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", node.Name, err)
	}
	path := filepath.Join(f.Config.Folder, node.Name+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", node.Name, err)
	}
	node.args = []string{role, "--settings", path}
	return nil
}

// Start initializes the control replicas and starts every process.
func (f *Fleet) Start() error {
	for _, node := range f.Controls {
		initialize := &Process{Name: node.Name + "-init", Log: node.Log, binary: f.binary, args: append(append([]string(nil), node.args...), "--init")}
		if err := initialize.Start(); err != nil {
			return err
		}
		if err := initialize.Wait(10 * time.Second); err != nil {
			return fmt.Errorf("create %s: %w", node.Name, err)
		}
	}
	for _, node := range f.All() {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// All returns the control replicas, relays and proxies, in this order.
func (f *Fleet) All() []*Node {
	var all []*Node
	all = append(all, f.Controls...)
	all = append(all, f.Relays...)
	return append(all, f.Proxies...)
}

// Kill kills every process that is still running, frozen ones too.
func (f *Fleet) Kill() {
	for _, node := range f.All() {
		if node.Running() {
			_ = node.Resume()
			node.Kill()
		}
	}
}

// FreeAddress returns an unused address of 127.0.0.1.
func (f *Fleet) FreeAddress() (string, error) { return f.ports.address() }

// PublicKey returns the public key that verifies approvals.
func (f *Fleet) PublicKey() string { return f.publicKey }

// Operators returns the operator API addresses of the control replicas.
func (f *Fleet) Operators() []string {
	var addresses []string
	for _, node := range f.Controls {
		addresses = append(addresses, node.Admin)
	}
	return addresses
}

// Client returns an operator API client for the control replicas.
func (f *Fleet) Client() *operator.Client { return operator.NewClient(f.Operators()) }

// Publish creates, approves and rolls out a bundle. It returns the version and the time at
// which the rollout was accepted.
func (f *Fleet) Publish(ctx context.Context, text string) (uint64, time.Time, error) {
	number, err := f.Prepare(ctx, text)
	if err != nil {
		return 0, time.Time{}, err
	}
	accepted, err := f.RollOut(ctx, number)
	return number, accepted, err
}

// Prepare creates and approves a bundle and returns its version.
func (f *Fleet) Prepare(ctx context.Context, text string) (uint64, error) {
	client := f.Client()
	var list operator.VersionList
	if err := client.Do(ctx, http.MethodGet, operator.PathVersions, nil, &list); err != nil {
		return 0, fmt.Errorf("read head: %w", err)
	}
	var created versionResponse
	request := operator.CreateRequest{OperationID: operator.NewOperationID(), ExpectedHead: &list.Head, TOML: text, FileName: "bundle.toml"}
	if err := client.Do(ctx, http.MethodPost, operator.PathVersions, request, &created); err != nil {
		return 0, fmt.Errorf("create: %w", err)
	}
	approve := operator.ApproveRequest{OperationID: operator.NewOperationID(), Approval: bundle.Sign(f.key, f.Config.Cluster, created.Version)}
	path := fmt.Sprintf("%s/%d/approve", operator.PathVersions, created.Version.Version)
	if err := client.Do(ctx, http.MethodPost, path, approve, &created); err != nil {
		return 0, fmt.Errorf("approve: %w", err)
	}
	return created.Version.Version, nil
}

// versionResponse is the part of an operator API response that the fleet uses.
type versionResponse struct {
	Version bundle.Manifest `json:"version"`
}

// RollOut rolls out a version and returns the time at which the request was accepted.
func (f *Fleet) RollOut(ctx context.Context, number uint64) (time.Time, error) {
	path := fmt.Sprintf("%s/%d/roll", operator.PathVersions, number)
	var rolled versionResponse
	err := f.Client().Do(ctx, http.MethodPost, path, operator.RollRequest{OperationID: operator.NewOperationID()}, &rolled)
	if err != nil {
		return time.Time{}, fmt.Errorf("roll: %w", err)
	}
	return time.Now(), nil
}

// Leader returns the control replica that reports itself as the leader.
func (f *Fleet) Leader() (*Node, error) {
	for _, node := range f.Controls {
		var status struct {
			Role string `json:"role"`
		}
		if node.Running() && node.Status(&status) == nil && status.Role == "leader" {
			return node, nil
		}
	}
	return nil, errors.New("no control replica reports itself as leader")
}

// Get requests a path of the process's administration API and returns status and body.
func (n *Node) Get(path string) (status int, body []byte, err error) {
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + n.Admin + path)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// Status decodes the JSON status page of the process into target.
func (n *Node) Status(target any) error {
	code, body, err := n.Get("/status")
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return fmt.Errorf("status of %s: %d", n.Name, code)
	}
	return json.Unmarshal(body, target)
}

// Ready reports whether the readiness check of the process succeeds.
func (n *Node) Ready() bool {
	code, _, err := n.Get("/ready")
	return err == nil && code == http.StatusOK
}

// WaitReady waits until every given process is ready or the context ends.
func WaitReady(ctx context.Context, nodes []*Node) error {
	for _, node := range nodes {
		for !node.Ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", node.Name, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}
