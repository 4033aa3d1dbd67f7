// Package settings loads and checks the settings files of the daemons: name, zone, addresses,
// data folder and timeouts. The configuration distributed at run time is in package bundle.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"bramblelift/pkg/bundle"
)

// Common holds the settings that all daemons have.
type Common struct {
	// Cluster is the ID that all processes of one deployment share.
	Cluster string `toml:"cluster"`
	Name    string `toml:"name"`
	Zone    string `toml:"zone"`
	// Zones maps each zone of the deployment to its region; empty if there are no regions.
	Zones map[string]string `toml:"zones,omitempty"`
	// AdminListen is the address of status, metrics and the liveness and readiness checks,
	// and on a control replica of the operators' API.
	AdminListen string `toml:"admin_listen"`
	// MetricsListen is a second address of the same service, for a metrics collector that
	// cannot reach AdminListen; empty for none.
	MetricsListen string `toml:"metrics_listen,omitempty"`
	// ApprovalKeys are the public keys, in base64, whose signatures approve a version.
	ApprovalKeys []string `toml:"approval_keys"`
	// ApprovalKeyFiles are files with one further key each, relative to the settings file.
	ApprovalKeyFiles []string `toml:"approval_key_files,omitempty"`
	// SignOff is how versions are approved.
	SignOff SignOff `toml:"sign_off,omitempty"`
	// InterfaceListen is the address of the API for the deployment's platform, if the
	// program has one; empty for none.
	InterfaceListen string `toml:"interface_listen,omitempty"`
	// Seeds are addresses of control replicas, some of which may be down. A process learns
	// the others from the first one that it reaches.
	Seeds []string `toml:"seeds,omitempty"`
	// SeedPort replaces the ports of Seeds, if these name another port of the replicas;
	// 0 to keep them.
	SeedPort uint16 `toml:"seed_port,omitempty"`
}

// SignOff is how versions of the bundle are approved.
type SignOff string

const (
	// SignOffSignature requires the signature of an accepted key; the default.
	SignOffSignature SignOff = ""
	// SignOffPublication also accepts versions that are created, approved and rolled in one
	// unsigned request.
	SignOffPublication SignOff = "publication"
)

// Verifier returns a verifier of approvals for the accepted keys and sign-off.
func (c *Common) Verifier() (*bundle.Verifier, error) {
	verifier, err := bundle.NewVerifier(c.Cluster, c.ApprovalKeys)
	if err != nil {
		return nil, err
	}
	if c.SignOff == SignOffPublication {
		verifier.AcceptPublication()
	}
	return verifier, nil
}

// SeedAddresses returns Seeds, with their ports replaced by SeedPort if it is set.
func (c *Common) SeedAddresses() []string {
	addresses := make([]string, len(c.Seeds))
	for i, seed := range c.Seeds {
		addresses[i] = seed
		if parsed, err := netip.ParseAddrPort(seed); err == nil && c.SeedPort != 0 {
			addresses[i] = netip.AddrPortFrom(parsed.Addr(), c.SeedPort).String()
		}
	}
	return addresses
}

// Settings is implemented by the settings of each daemon: *Control, *Relay and *Proxy.
type Settings interface {
	common() *Common
}

func (c *Common) common() *Common { return c }

// readKeyFiles appends the keys in ApprovalKeyFiles to ApprovalKeys.
func (c *Common) readKeyFiles(folder string) error {
	for _, name := range c.ApprovalKeyFiles {
		path := name
		if !filepath.IsAbs(path) {
			path = filepath.Join(folder, name)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("key \"approval_key_files\": %w", err)
		}
		c.ApprovalKeys = append(c.ApprovalKeys, strings.TrimSpace(string(text)))
	}
	return nil
}

// Peer is a control replica or relay that the process connects to.
type Peer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	// Operator is the address of a control replica's API for operators.
	Operator string `toml:"operator"`
}

// Control holds the settings of a control replica.
type Control struct {
	Common
	// Data is the folder of the replica's persistent state.
	Data string `toml:"data"`
	// Listen is the address to which other replicas, relays and nodes connect.
	Listen string `toml:"listen"`
	// Advertise is the address at which others reach Listen; defaults to Listen.
	Advertise string `toml:"advertise,omitempty"`
	// Replicas are all control replicas, including this one; an odd number. It must be empty if Seeds is set.
	Replicas []Peer `toml:"replica"`
	// Found lets this replica found a new cluster together with the other Seeds, if its data
	// folder is empty and its address is among Seeds. Set it only at the first start of the
	// deployment.
	Found bool `toml:"found,omitempty"`
	// RemoveAfter is how long a replica may be unreachable before it is removed from the
	// membership. It applies only if Seeds is set.
	RemoveAfter bundle.Duration `toml:"remove_after,omitempty"`
	// ToleratedLosses is how many replicas may fail at the same time. It applies only if Seeds is set.
	ToleratedLosses int `toml:"tolerated_losses,omitempty"`
	// PlatformURL is where the replica polls the platform's list of machines; empty for none.
	PlatformURL      string          `toml:"platform_url"`
	PlatformInterval bundle.Duration `toml:"platform_interval"`
	// SourceURL is where the replica fetches bundles that operators create by name; empty for
	// none.
	SourceURL string `toml:"source_url"`
	// ElectionTimeout and HeartbeatInterval are those of Raft.
	ElectionTimeout   bundle.Duration `toml:"election_timeout"`
	HeartbeatInterval bundle.Duration `toml:"heartbeat_interval"`
	// Rollouts bounds the exposure of new versions of a service.
	Rollouts Rollouts `toml:"rollouts,omitempty"`
	// Quotas sets by how much calls may exceed the tenants' limits.
	Quotas Quotas `toml:"quotas,omitempty"`
}

// Relay holds the settings of a relay.
type Relay struct {
	Common
	// Listen is the address to which nodes connect.
	Listen   string `toml:"listen"`
	Controls []Peer `toml:"control"`
	Timing
}

// Proxy holds the settings of a node.
type Proxy struct {
	Common
	// Group is the node group whose routes this node serves.
	Group string `toml:"group"`
	// Listen is the address to which callers connect.
	Listen string `toml:"listen"`
	// Data is the folder in which the configuration is saved; empty for none. A node without
	// one serves no calls until its configuration is confirmed as current.
	Data   string `toml:"data"`
	Relays []Peer `toml:"relay"`
	// Service is the service of the back end beside the node; empty for none.
	Service string `toml:"service,omitempty"`
	// BackendAddress is the address of that back end, GateListen that of the node's gate in
	// front of it. Both or none must be set.
	BackendAddress string `toml:"backend_address,omitempty"`
	GateListen     string `toml:"gate_listen,omitempty"`
	// GateAdvertise is the address at which other nodes reach GateListen; defaults to
	// GateListen.
	GateAdvertise string `toml:"gate_advertise,omitempty"`
	// LinkMegabits is the rate of the machine's link in megabits per second, for pacing large
	// bodies so that they don't delay other calls. Zero disables pacing.
	LinkMegabits float64 `toml:"link_megabits,omitempty"`
	// Headers are the names of the headers that calls carry.
	Headers Headers `toml:"headers,omitempty"`
	// Retries limits the ratio of retries to calls over all nodes together.
	Retries Retries `toml:"retries,omitempty"`
	// Quotas sets by how much calls may exceed the tenants' limits.
	Quotas Quotas `toml:"quotas,omitempty"`
	// KeysStaleLimit is how old the configuration may be for calls that need a tenant's key, so that a
	// partitioned node accepts a revoked key no longer than this. Zero for no bound.
	KeysStaleLimit bundle.Duration `toml:"keys_stale_limit,omitempty"`
	// Grace is how long after SIGTERM the process is killed, zero if it is not known. StopTimeout bounds a graceful
	// stop; its default leaves a part of Grace for the exit. For CallerNotice after its start the node only
	// asks callers to reconnect elsewhere, and still admits calls of other nodes.
	Grace        bundle.Duration `toml:"grace,omitempty"`
	StopTimeout  bundle.Duration `toml:"stop_timeout,omitempty"`
	CallerNotice bundle.Duration `toml:"caller_notice,omitempty"`
	Timing
}

// Timing holds the intervals and timeouts of a subscription to a relay or control replica.
type Timing struct {
	// PingInterval is the interval between pings to the server; SilenceTimeout is how long the
	// server may send nothing before the connection is closed.
	PingInterval   bundle.Duration `toml:"ping_interval"`
	SilenceTimeout bundle.Duration `toml:"silence_timeout"`
	// StaleLimit is how old a server's last confirmed state may be before the subscriber
	// tries another server.
	StaleLimit bundle.Duration `toml:"stale_limit"`
}

// These constants are the default intervals and timeouts, and the bounds of the settings.
const (
	// DefaultPlatformInterval is the interval between polls of the platform's list of
	// machines; it dominates the delay of endpoint changes.
	DefaultPlatformInterval  = 200 * time.Millisecond
	defaultElectionTimeout   = time.Second
	defaultHeartbeatInterval = 200 * time.Millisecond
	defaultRelayPing         = time.Second
	defaultProxyPing         = 2 * time.Second
	defaultRelaySilence      = 3 * time.Second
	defaultProxySilence      = 5 * time.Second
	defaultStaleLimit        = 2500 * time.Millisecond
	defaultRemoveAfter       = 5 * time.Second
	minReplicas              = 1
	minHeartbeatsPerElection = 3
)

// Load reads a settings file, and the key files that it names, into target. An empty path
// leaves target unchanged. Errors name the file, and for unknown keys and bad values the line.
func Load(path string, target Settings) error {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := bundle.DecodeTOML(path, text, target); err != nil {
		return err
	}
	if err := target.common().readKeyFiles(filepath.Dir(path)); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// problems collects the errors found in settings.
type problems []error

func (p *problems) add(key, format string, values ...any) {
	*p = append(*p, fmt.Errorf("key %q: %s", key, fmt.Sprintf(format, values...)))
}

func (p *problems) checkAddress(key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		p.add(key, "%q is not IP:port", address)
	}
}

func (p *problems) checkDistinct(addresses map[string]string) {
	for key, address := range addresses {
		for otherKey, other := range addresses {
			if key < otherKey && address == other && !strings.HasSuffix(address, ":0") {
				p.add(otherKey, "%s is also the address of %q", address, key)
			}
		}
	}
}

func (p *problems) checkPeers(key string, peers []Peer) {
	if len(peers) == 0 {
		p.add(key, "none is named")
	}
	for _, peer := range peers {
		p.checkAddress(key+".address", peer.Address)
	}
}

func (p *problems) checkCommon(c Common) {
	if c.Cluster == "" {
		p.add("cluster", "must be set")
	}
	if c.Name == "" {
		p.add("name", "must be set")
	}
	if _, known := c.Zones[c.Zone]; !known && len(c.Zones) > 0 {
		p.add("zones", "%q, the zone of this process, is missing", c.Zone)
	}
	p.checkAddress("admin_listen", c.AdminListen)
	if c.MetricsListen != "" {
		p.checkAddress("metrics_listen", c.MetricsListen)
		p.checkDistinct(map[string]string{"metrics_listen": c.MetricsListen, "admin_listen": c.AdminListen})
	}
	if c.SignOff != SignOffSignature && c.SignOff != SignOffPublication {
		p.add("sign_off", "%q is neither empty, for signatures, nor %q", c.SignOff, SignOffPublication)
	}
	if len(c.ApprovalKeys) == 0 && c.SignOff == SignOffSignature {
		p.add("approval_keys", "at least one accepted key must be set")
	}
	if c.InterfaceListen != "" {
		p.checkAddress("interface_listen", c.InterfaceListen)
	}
	for _, seed := range c.Seeds {
		p.checkAddress("seeds", seed)
	}
	if _, err := bundle.NewVerifier(c.Cluster, c.ApprovalKeys); err != nil {
		p.add("approval_keys", "%v", err)
	}
}

func (p *problems) checkPositive(key string, d bundle.Duration) {
	if d <= 0 {
		p.add(key, "must be greater than zero")
	}
}

func (p *problems) checkTiming(t Timing) {
	p.checkPositive("ping_interval", t.PingInterval)
	if t.SilenceTimeout < 2*t.PingInterval {
		p.add("silence_timeout", "must be at least twice ping_interval")
	}
	if t.StaleLimit < t.PingInterval {
		p.add("stale_limit", "must be at least ping_interval")
	}
}

// joined returns the problems as one error, sorted by text, or nil if there are none.
func (p problems) joined() error {
	slices.SortFunc(p, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(p...)
}

func setDefaultDuration(d *bundle.Duration, value time.Duration) {
	if *d == 0 {
		*d = bundle.Duration(value)
	}
}

// Check sets defaults and returns an error that lists all invalid settings.
func (c *Control) Check() error {
	setDefaultDuration(&c.PlatformInterval, DefaultPlatformInterval)
	setDefaultDuration(&c.ElectionTimeout, defaultElectionTimeout)
	setDefaultDuration(&c.HeartbeatInterval, defaultHeartbeatInterval)
	var p problems
	p.checkCommon(c.Common)
	p.checkAddress("listen", c.Listen)
	setDefaultText(&c.Advertise, c.Listen)
	p.checkAddress("advertise", c.Advertise)
	p.checkDistinct(map[string]string{"listen": c.Listen, "admin_listen": c.AdminListen})
	if c.Data == "" {
		p.add("data", "must be set")
	}
	p.checkRollouts(c.Rollouts)
	p.checkQuotas(c.Quotas)
	p.checkReplicas(c)
	p.checkPositive("platform_interval", c.PlatformInterval)
	p.checkPositive("heartbeat_interval", c.HeartbeatInterval)
	if c.ElectionTimeout < minHeartbeatsPerElection*c.HeartbeatInterval {
		p.add("election_timeout", "must be at least %d times heartbeat_interval", minHeartbeatsPerElection)
	}
	return p.joined()
}

// checkReplicas checks the seeds or the fixed list of replicas, and sets the defaults that apply with seeds.
func (p *problems) checkReplicas(c *Control) {
	if len(c.Seeds) > 0 {
		setDefaultDuration(&c.RemoveAfter, defaultRemoveAfter)
		if len(c.Replicas) > 0 {
			p.add("replica", "must not be set together with seeds")
		}
		if c.ToleratedLosses < 0 {
			p.add("tolerated_losses", "must not be negative")
		}
		return
	}
	if c.Found {
		p.add("found", "requires seeds")
	}
	p.checkPeers("replica", c.Replicas)
	if len(c.Replicas)%2 == 0 || len(c.Replicas) < minReplicas {
		p.add("replica", "their number must be odd, it is %d", len(c.Replicas))
	}
	if !slices.ContainsFunc(c.Replicas, func(peer Peer) bool { return peer.Name == c.Name }) {
		p.add("replica", "%q itself is not among them", c.Name)
	}
}

// Check sets defaults and returns an error that lists all invalid settings.
func (r *Relay) Check() error {
	setDefaultDuration(&r.PingInterval, defaultRelayPing)
	setDefaultDuration(&r.SilenceTimeout, defaultRelaySilence)
	setDefaultDuration(&r.StaleLimit, defaultStaleLimit)
	var p problems
	p.checkCommon(r.Common)
	p.checkAddress("listen", r.Listen)
	p.checkDistinct(map[string]string{"listen": r.Listen, "admin_listen": r.AdminListen})
	p.checkPeers("control", r.Controls)
	p.checkTiming(r.Timing)
	return p.joined()
}

// Check sets defaults and returns an error that lists all invalid settings.
func (x *Proxy) Check() error {
	setDefaultDuration(&x.PingInterval, defaultProxyPing)
	setDefaultDuration(&x.SilenceTimeout, defaultProxySilence)
	setDefaultDuration(&x.StaleLimit, defaultStaleLimit)
	var p problems
	p.checkCommon(x.Common)
	p.checkAddress("listen", x.Listen)
	p.checkDistinct(map[string]string{"listen": x.Listen, "admin_listen": x.AdminListen})
	if len(x.Seeds) == 0 {
		p.checkPeers("relay", x.Relays)
	}
	p.checkTiming(x.Timing)
	p.checkDataPlane(x)
	p.checkQuotas(x.Quotas)
	if x.KeysStaleLimit < 0 {
		p.add("keys_stale_limit", "must not be negative")
	}
	if x.LinkMegabits < 0 {
		p.add("link_megabits", "must not be negative")
	}
	if x.Group == bundle.ScopeAll {
		p.add("group", "%q is reserved", x.Group)
	}
	return p.joined()
}
