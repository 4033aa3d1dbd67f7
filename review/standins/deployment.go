package standins

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, those of the site mdt-mesh.
const (
	ContactTime     = 3 * time.Second
	ConfigApplyTime = 2 * time.Second
	DrainTime       = 2 * time.Second
	HeartbeatTime   = 1500 * time.Millisecond
)

// Machine is a loopback address with the process that runs there.
type Machine struct {
	Name, Zone, IP string
	// Service is that of the back end beside a node, empty for a replica of control.
	Service string

	d        *Deployment
	settings string
	mu       sync.Mutex
	command  *exec.Cmd
	done     chan struct{}
}

// Deployment is a small deployment: replicas of control, and nodes with a back end beside each.
type Deployment struct {
	Record *Record
	Cores  []*Machine
	Sides  []*Machine
	// Bounds are added to those in the settings of all machines.
	Bounds map[string]any

	root, folder string
	port         int
	started      bool
}

// Ports of every machine, counted from the deployment's first one.
const (
	portControl = iota
	portInbound
	portOutbound
	portReady
	portApp
	portInternal
	ports = portInternal + 3
)

var zones = []string{"sjo-escazu", "sjo-heredia", "sjo-cartago", "sjo-alajuela"}

// NewDeployment prepares replicas of control and one node for each of services. root is the repository's root. Close
// ends what was started.
func NewDeployment(root string, record *Record, replicas int, services []string) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "standins")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, root: root, folder: folder}
	net := fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%240, 1+os.Getpid()/240%250)
	for i := range replicas + len(services) {
		m := &Machine{d: d, IP: net + strconv.Itoa(i+1)}
		if i < replicas {
			m.Name, m.Zone = fmt.Sprintf("core-%d", i+1), zones[i%len(zones)]
			d.Cores = append(d.Cores, m)
		} else {
			n := i - replicas
			m.Name, m.Zone, m.Service = fmt.Sprintf("sidecar-%d", n+1), zones[n%len(zones)], services[n]
			d.Sides = append(d.Sides, m)
		}
		m.settings = filepath.Join(folder, m.Name+".toml")
	}
	if d.port, err = d.freePorts(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// freePorts returns the first of a row of ports that are free on every machine.
func (d *Deployment) freePorts() (int, error) {
	for first := 12000 + os.Getpid()*16%15000; first < 31000; first += ports {
		if d.portsFree(first) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func (d *Deployment) portsFree(first int) bool {
	for _, m := range d.machines() {
		for port := first; port < first+ports; port++ {
			l, err := net.Listen("tcp", net.JoinHostPort(m.IP, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (d *Deployment) machines() []*Machine {
	return append(append([]*Machine(nil), d.Cores...), d.Sides...)
}

func (m *Machine) addr(port int) string {
	return net.JoinHostPort(m.IP, strconv.Itoa(m.d.port+port))
}

// Outbound is where clients of the machine send their requests, App where its back end listens, Control where its
// back end sends heartbeats, or where a replica takes the operator's orders.
func (m *Machine) Outbound() string { return m.addr(portOutbound) }

// App is the address of the machine's back end.
func (m *Machine) App() string { return m.addr(portApp) }

// Control is the machine's control_plane address.
func (m *Machine) Control() string { return m.addr(portControl) }

// fields are those of the machine's settings file (DEPLOY.md).
func (m *Machine) fields(bootstrap bool) map[string]any {
	var seeds []any
	for _, core := range m.d.Cores[:min(3, len(m.d.Cores))] {
		seeds = append(seeds, core.Control())
	}
	regions := map[string]any{}
	for _, zone := range zones {
		regions[zone] = "sjo"
	}
	listen := map[string]any{"control_plane": m.addr(portControl)}
	data := filepath.Join(m.d.folder, m.Name+"-data")
	if m.Service != "" {
		listen["inbound"], listen["outbound"], listen["ready"] = m.addr(portInbound), m.addr(portOutbound), m.addr(portReady)
		data = ""
	}
	bounds := map[string]any{"contact_ms": ContactTime.Milliseconds(), "config_apply_ms": ConfigApplyTime.Milliseconds(), "drain_ms": DrainTime.Milliseconds(), "grace_s": 6}
	maps.Copy(bounds, m.d.Bounds)
	return map[string]any{
		"node_name": m.Name, "zone": m.Zone, "region": "sjo", "zones": regions, "ip": m.IP, "listen": listen,
		"internal_port_range": []any{m.d.port + portInternal, m.d.port + portInternal + 1}, "seeds": seeds, "bootstrap": bootstrap,
		"limits": map[string]any{"link_mbps": 1000.0}, "data_dir": data, "heartbeat_ms": HeartbeatTime.Milliseconds(),
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          bounds,
		"app_address":     m.addr(portApp), "service": m.Service,
	}
}

func (m *Machine) role() string {
	if m.Service == "" {
		return "control"
	}
	return "proxy"
}

// Start writes the machine's settings and starts its process with the command of the deploy file.
func (m *Machine) Start() error {
	template, err := os.ReadFile(filepath.Join(m.d.root, "deploy", m.role()+".toml"))
	if err != nil {
		return err
	}
	text, err := render(string(template), []any{m.fields(!m.d.started)})
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.d.folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(m.d.root, "target", "bramblelift"), m.role(), "--settings", m.settings)
	command.Dir, command.Stdout, command.Stderr = m.d.root, log, log
	// The kernel kills the process when its parent ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.command, m.done = command, done
	m.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(done)
	}()
	m.d.Record.Line("start %s (%s, %s) at %s", m.Name, m.role(), m.Service, m.IP)
	return nil
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		m.d.Record.Line("%s to %s", signal, m.Name)
		_ = m.command.Process.Signal(signal)
	}
}

// Running reports whether the machine's process runs.
func (m *Machine) Running() bool {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// AwaitEnd waits until the machine's process has ended.
func (m *Machine) AwaitEnd(limit time.Duration) error {
	for end := time.Now().Add(limit); m.Running(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s has not ended", m.Name)
		}
	}
	return nil
}

// Ready asks a node whether it is ready, as the platform does.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.addr(portReady) + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Start starts all machines.
func (d *Deployment) Start() error {
	for _, m := range d.machines() {
		if err := m.Start(); err != nil {
			return err
		}
	}
	d.started = true
	return nil
}

// AwaitReady waits until all nodes are ready.
func (d *Deployment) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.Sides {
			if m.Ready() {
				ready++
			}
		}
		if ready == len(d.Sides) {
			return nil
		}
	}
	return errors.New("the nodes were not ready in time")
}

// Log returns what a machine's process has written.
func (d *Deployment) Log(m *Machine) string {
	text, _ := os.ReadFile(filepath.Join(d.folder, m.Name+".log"))
	return string(text)
}

// Close ends all processes and removes the temporary folder. KEEP=1 keeps it.
func (d *Deployment) Close() {
	for _, m := range d.machines() {
		if !m.Running() {
			continue
		}
		m.mu.Lock()
		_ = m.command.Process.Kill()
		m.mu.Unlock()
		<-m.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// Note writes a line about the machine to the record.
func (m *Machine) Note(format string, values ...any) {
	m.d.Record.Line("%s: %s", m.Name, fmt.Sprintf(format, values...))
}
