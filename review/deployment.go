package review

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine. Each machine has a loopback address of its own, and all use the same ports.
const (
	portReady         = 28341
	portControlPlane  = 28344
	portApp           = 28345
	portInbound       = 28346
	portOutbound      = 28347
	firstInternalPort = 28380
	lastInternalPort  = 28395
)

// Bounds of the users' small deployments (mdt-mesh, kvwdb-petitions).
const (
	ContactTime     = 3 * time.Second
	DrainTime       = 2 * time.Second
	HeartbeatPeriod = 1500 * time.Millisecond
	ConfigApplyTime = 2 * time.Second
	RecoveryTime    = 15 * time.Second
)

// Machine is one loopback address with one process of the system.
type Machine struct {
	Name    string
	IP      string
	Zone    string
	Service string
	Core    bool

	deployment *Deployment
	mu         sync.Mutex
	command    *exec.Cmd
	done       chan struct{}
}

// Deployment is a small system: core machines with a control replica each, and sidecar machines with a node each.
type Deployment struct {
	Record *Record
	Core   []*Machine
	Nodes  []*Machine

	root      string
	folder    string
	zones     map[string]string
	bootstrap bool
}

// Node describes a sidecar machine.
type Node struct {
	Name, Zone, Service string
}

// New prepares a deployment with three core machines, one in each zone; it starts no process. root is the repository.
func New(root string, record *Record, nodes ...Node) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, root: root, folder: folder, zones: map[string]string{"zone-a": "east", "zone-b": "east", "zone-c": "east"}, bootstrap: true}
	subnet, err := freeSubnet(3 + len(nodes))
	if err != nil {
		return nil, err
	}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		d.Core = append(d.Core, &Machine{Name: fmt.Sprintf("core-%d", i+1), IP: subnet + strconv.Itoa(i+1), Zone: zone, Core: true, deployment: d})
	}
	for i, node := range nodes {
		d.Nodes = append(d.Nodes, &Machine{Name: node.Name, IP: subnet + strconv.Itoa(i+11), Zone: node.Zone, Service: node.Service, deployment: d})
	}
	return d, nil
}

// freeSubnet returns the first three parts of loopback addresses on which the ports are free.
func freeSubnet(machines int) (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := 1; i <= 11+machines && free; i++ {
			for _, port := range []int{portReady, portControlPlane, portApp, portInbound, portOutbound, firstInternalPort, firstInternalPort + 1} {
				l, err := net.Listen("tcp", net.JoinHostPort(subnet+strconv.Itoa(i), strconv.Itoa(port)))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (m *Machine) address(port int) string { return net.JoinHostPort(m.IP, strconv.Itoa(port)) }

// App returns the address of the back end beside the node.
func (m *Machine) App() string { return m.address(portApp) }

// Outbound returns the address that clients of the machine send to.
func (m *Machine) Outbound() string { return m.address(portOutbound) }

// ControlPlane returns the address for heartbeats or orders.
func (m *Machine) ControlPlane() string { return m.address(portControlPlane) }

func (m *Machine) settingsPath() string { return filepath.Join(m.deployment.folder, m.Name+".toml") }

// writeSettings fills the template of the deploy folder as the platform does.
func (m *Machine) writeSettings() error {
	d := m.deployment
	name := "proxy.toml"
	var data any
	if m.Core {
		name = "control.toml"
		data = filepath.Join(d.folder, "data-"+m.Name)
	}
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", name))
	if err != nil {
		return err
	}
	var seeds []string
	for _, core := range d.Core {
		seeds = append(seeds, core.ControlPlane())
	}
	text, err := renderTemplate(string(template), map[string]any{
		"node_name": m.Name, "ip": m.IP, "zone": m.Zone, "region": d.zones[m.Zone], "zones": d.zones, "seeds": seeds,
		"listen":              map[string]any{"inbound": m.address(portInbound), "outbound": m.Outbound(), "ready": m.address(portReady), "control_plane": m.ControlPlane()},
		"internal_port_range": []int{firstInternalPort, lastInternalPort}, "bootstrap": d.bootstrap, "data_dir": data,
		"limits":          map[string]any{"cpu_share": 0.32, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          map[string]any{"contact_ms": 3000, "drain_ms": 2000, "config_apply_ms": 2000, "grace_s": 6},
		"app_address":     m.App(), "service": m.Service, "heartbeat_ms": 1500,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(m.settingsPath(), []byte(text), 0o600)
}

// Start writes the settings and starts the machine's process with the command of the deploy file.
func (m *Machine) Start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	role := "proxy"
	if m.Core {
		role = "control"
	}
	log, err := os.OpenFile(filepath.Join(m.deployment.folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/bramblelift", role, "--settings", m.settingsPath())
	command.Dir = m.deployment.root
	command.Stdout, command.Stderr = log, log
	// The process ends with this one, however this one ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.command, m.done = command, done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// Kill ends the machine's process with SIGKILL and waits for its end.
func (m *Machine) Kill() {
	m.mu.Lock()
	command, done := m.command, m.done
	m.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-done
}

// Start starts all machines.
func (d *Deployment) Start() error {
	for _, m := range append(append([]*Machine(nil), d.Core...), d.Nodes...) {
		if err := m.Start(); err != nil {
			return fmt.Errorf("start %s: %w", m.Name, err)
		}
	}
	d.bootstrap = false
	return nil
}

// Stop ends all processes and removes the temporary folder.
func (d *Deployment) Stop() {
	for _, m := range append(append([]*Machine(nil), d.Core...), d.Nodes...) {
		m.Kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// Ready reports whether the node answers 200 at its ready address.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.address(portReady) + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the nodes are ready.
func (d *Deployment) AwaitReady(limit time.Duration, nodes ...*Machine) error {
	deadline := time.Now().Add(limit)
	for _, node := range nodes {
		for !node.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", node.Name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// PutConfig sends a configuration as the operator does until it is acknowledged.
func (d *Deployment) PutConfig(document string, limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		address := d.Core[rand.IntN(len(d.Core))].ControlPlane()
		request, err := http.NewRequest(http.MethodPut, "http://"+address+"/api/config", bytes.NewReader([]byte(document)))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		switch {
		case response.StatusCode == http.StatusOK:
			d.Record.Note("operator  configuration acknowledged by %s", address)
			return nil
		case response.StatusCode/100 == 4 && response.StatusCode != http.StatusRequestTimeout && response.StatusCode != http.StatusTooManyRequests:
			return fmt.Errorf("configuration refused with %d: %s", response.StatusCode, text)
		}
	}
	return errors.New("the configuration was not acknowledged in time")
}

// Rule is a route of the configuration.
type Rule struct {
	Name, Kind, Prefix, Service  string
	TargetMs, TimeoutMs, Attempt int
}

// Host is the host of all routes.
const Host = "shop.example"

// coldStart is what the configuration tells of back ends after their start, as in the deployment of aichinger-mesh.
const coldStart = `"cold_start_s":3,"cold_per_s":14,`

// Document returns a configuration with the rules.
func Document(version, base int, services []string, rules ...Rule) string {
	var ruleTexts, clusters []string
	for _, r := range rules {
		ruleTexts = append(ruleTexts, fmt.Sprintf(`{"name":%q,"kind":%q,"target_latency_ms":%d,"priority":1,"match":{"path_prefix":%q},"action":{"service":%q,"timeout_ms":%d,"max_attempts":%d}}`,
			r.Name, r.Kind, r.TargetMs, r.Prefix, r.Service, r.TimeoutMs, r.Attempt))
	}
	for _, service := range services {
		clusters = append(clusters, fmt.Sprintf(`{"name":%q,"health_path":%q,%s"max_connections":130,"protocol":"h1","tls":false}`, service, healthPath, coldStart))
	}
	return fmt.Sprintf(`{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":"r%d","listeners":[{"host":%q,"rules":[%s]}],"clusters":[%s]}`,
		version, base, Host, strings.Join(ruleTexts, ","), strings.Join(clusters, ","))
}
