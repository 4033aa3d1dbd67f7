package profile

import (
	"fmt"
	"strings"

	"bramblelift/pkg/bench/history"
	"bramblelift/pkg/bench/standin"
)

// BundleText returns the bundle file of the profile, with credential as the value of its
// only secret. It lists no back ends, because they come from the platform's machine list.
func (p Profile) BundleText(credential string) string {
	var text strings.Builder
	for _, service := range p.Services {
		fmt.Fprintf(&text, "[[service]]\nname = %q\nmax_concurrency = %d\nmax_connections = 12\n\n", service.Name, p.Slots)
		fmt.Fprintf(&text, "[[route]]\nname = %q\npath_prefix = %q\nservice = %q\nsecret = \"backend-credential\"\ntimeout = \"2s\"\n\n",
			service.Name+"-reads", service.Reads, service.Name)
		fmt.Fprintf(&text, "[[route]]\nname = %q\npath_prefix = %q\nservice = %q\nsecret = \"backend-credential\"\ntimeout = \"5s\"\nonce = true\n\n",
			service.Name+"-writes", service.Writes, service.Name)
	}
	fmt.Fprintf(&text, "[[secret]]\nname = \"backend-credential\"\nvalue = %q\n", credential)
	return text.String()
}

// Backends holds the running back ends of a profile.
type Backends struct {
	All []*standin.Backend
}

// StartBackends starts the back ends of the profile, distributed over its zones. They
// record their executions in the given history.
func (p Profile) StartBackends(callHistory *history.History) (*Backends, error) {
	running := &Backends{}
	for _, service := range p.Services {
		for i := range service.Backends {
			backend, err := standin.StartBackend(standin.BackendConfig{
				Name: fmt.Sprintf("%s-%d", service.Name, i+1), Service: service.Name,
				Zone: p.Zones[i%len(p.Zones)], Slots: p.Slots, Connections: p.Connections,
				ConnectCost: p.ConnectCost, Work: service.Work, LoadLag: loadLag,
			}, callHistory)
			if err != nil {
				running.Stop()
				return nil, err
			}
			running.All = append(running.All, backend)
		}
	}
	return running, nil
}

// Machines returns the machine list of the back ends, as the platform serves it.
func (b *Backends) Machines() []standin.Machine {
	var machines []standin.Machine
	for _, backend := range b.All {
		machines = append(machines, standin.Machine{
			Service: backend.Config.Service, ID: backend.Config.Name, Incarnation: 1,
			Address: backend.Address(), Zone: backend.Config.Zone,
		})
	}
	return machines
}

// Stop stops all back ends.
func (b *Backends) Stop() {
	for _, backend := range b.All {
		backend.Stop()
	}
}
