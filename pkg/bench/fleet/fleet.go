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

// Config sets the size, zones, folder and external services of a fleet.
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
	ProxyData bool
	// PlatformURL is the URL of the platform's machine list.
	PlatformURL string
	// SourceURL is the base URL of the bundle files.
	SourceURL string
	// ProxyFor, if set, returns the address that the client uses to reach the server at
	// address, for example that of a fault proxy.
	ProxyFor func(client, server, address string) (string, error)
}

// Member is a control replica, relay or proxy process with its addresses.
type Member struct {
	*Process
	Zone    string
	Group   string
	Address string
	Admin   string
}

// Fleet is a system of control replicas, relays and proxies on this machine.
type Fleet struct {
	Config    Config
	Controls  []*Member
	Relays    []*Member
	Proxies   []*Member
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
		if err := f.addMember(&f.Controls, fmt.Sprintf("control-%d", i+1), i); err != nil {
			return err
		}
	}
	for i := range f.Config.Relays {
		if err := f.addMember(&f.Relays, fmt.Sprintf("relay-%d", i+1), i); err != nil {
			return err
		}
	}
	for i := range f.Config.Proxies {
		if err := f.addMember(&f.Proxies, fmt.Sprintf("proxy-%d", i+1), i); err != nil {
			return err
		}
	}
	return f.writeSettings()
}

func (f *Fleet) addMember(list *[]*Member, name string, index int) error {
	address, err := f.ports.address()
	if err != nil {
		return err
	}
	admin, err := f.ports.address()
	if err != nil {
		return err
	}
	member := &Member{
		Process: &Process{Name: name, Log: filepath.Join(f.Config.Folder, name+".log"), binary: f.binary},
		Zone:    f.Config.Zones[index%len(f.Config.Zones)], Address: address, Admin: admin,
	}
	if len(f.Config.Groups) > 0 {
		member.Group = f.Config.Groups[index%len(f.Config.Groups)]
	}
	*list = append(*list, member)
	return nil
}

func (f *Fleet) commonSettings(member *Member) settings.Common {
	return settings.Common{
		Cluster: f.Config.Cluster, Name: member.Name, Zone: member.Zone,
		AdminListen: member.Admin, ApprovalKeys: []string{f.publicKey},
	}
}

func (f *Fleet) writeSettings() error {
	for _, member := range f.Controls {
		peers, err := f.peers(member, f.Controls)
		if err != nil {
			return err
		}
		config := settings.Control{
			Common: f.commonSettings(member), Data: f.DataFolder(member.Name), Listen: member.Address, Replicas: peers,
			PlatformURL: f.Config.PlatformURL, SourceURL: f.Config.SourceURL,
		}
		if err := f.writeMemberSettings(member, "control", config); err != nil {
			return err
		}
	}
	for _, member := range f.Relays {
		peers, err := f.peers(member, f.Controls)
		if err != nil {
			return err
		}
		if err := f.writeMemberSettings(member, "relay", settings.Relay{Common: f.commonSettings(member), Listen: member.Address, Controls: peers}); err != nil {
			return err
		}
	}
	for _, member := range f.Proxies {
		if err := f.writeProxySettings(member); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) writeProxySettings(member *Member) error {
	peers, err := f.peers(member, f.Relays)
	if err != nil {
		return err
	}
	config := settings.Proxy{Common: f.commonSettings(member), Group: member.Group, Listen: member.Address, Relays: peers}
	if f.Config.ProxyData {
		config.Data = f.DataFolder(member.Name)
	}
	return f.writeMemberSettings(member, "proxy", config)
}

// peers lists servers with the addresses that the client uses for them.
func (f *Fleet) peers(client *Member, servers []*Member) ([]settings.Peer, error) {
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

func (f *Fleet) writeMemberSettings(member *Member, role string, config any) error {
	text, err := toml.Marshal(config)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", member.Name, err)
	}
	path := filepath.Join(f.Config.Folder, member.Name+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", member.Name, err)
	}
	member.args = []string{role, "--settings", path}
	return nil
}

// Start initializes the control replicas and starts every process.
func (f *Fleet) Start() error {
	for _, member := range f.Controls {
		initialize := &Process{Name: member.Name + "-init", Log: member.Log, binary: f.binary, args: append(append([]string(nil), member.args...), "--init")}
		if err := initialize.Start(); err != nil {
			return err
		}
		if err := initialize.Wait(10 * time.Second); err != nil {
			return fmt.Errorf("create %s: %w", member.Name, err)
		}
	}
	for _, member := range f.All() {
		if err := member.Start(); err != nil {
			return err
		}
	}
	return nil
}

// All returns the control replicas, relays and proxies, in this order.
func (f *Fleet) All() []*Member {
	var all []*Member
	all = append(all, f.Controls...)
	all = append(all, f.Relays...)
	return append(all, f.Proxies...)
}

// Kill kills every process that is still running, frozen ones too.
func (f *Fleet) Kill() {
	for _, member := range f.All() {
		if member.Running() {
			_ = member.Resume()
			member.Kill()
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
	for _, member := range f.Controls {
		addresses = append(addresses, member.Admin)
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
func (f *Fleet) Leader() (*Member, error) {
	for _, member := range f.Controls {
		var status struct {
			Role string `json:"role"`
		}
		if member.Running() && member.Status(&status) == nil && status.Role == "leader" {
			return member, nil
		}
	}
	return nil, errors.New("no control replica reports itself as leader")
}

// Get requests a path of the process's administration API and returns status and body.
func (m *Member) Get(path string) (status int, body []byte, err error) {
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + m.Admin + path)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// Status decodes the JSON status page of the process into target.
func (m *Member) Status(target any) error {
	code, body, err := m.Get("/status")
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return fmt.Errorf("status of %s: %d", m.Name, code)
	}
	return json.Unmarshal(body, target)
}

// Ready reports whether the readiness check of the process succeeds.
func (m *Member) Ready() bool {
	code, _, err := m.Get("/ready")
	return err == nil && code == http.StatusOK
}

// WaitReady waits until every given process is ready or the context ends.
func WaitReady(ctx context.Context, members []*Member) error {
	for _, member := range members {
		for !member.Ready() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", member.Name, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}
