package experiment

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"bramblelift/pkg/bench/convergence"
	"bramblelift/pkg/bench/hollow"
	"bramblelift/pkg/bench/profile"
	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/distribution"
)

// Kinds of changes, as given to the change flag.
const (
	changeEndpoint = "endpoint"
	changeBundle   = "bundle"
	changeSecret   = "secret"
)

// workload is the configuration that an experiment distributes and changes. It is the same
// for the product and the baselines.
type workload struct {
	zones    []string
	groups   []string
	machines []standin.Machine
	// groupsByService holds, for each service, the node groups that need it.
	groupsByService map[string]map[string]bool
	// text returns the bundle file with the given timeout and secret.
	text   func(timeoutMillis int, secret string) string
	random *rand.Rand
	// timeout, in milliseconds, and secret are the values in the latest bundle.
	timeout int
	secret  string
}

const initialTimeoutMillis = 2000

// fakeAddress returns a distinct address for each number; hollow nodes never connect to it.
func fakeAddress(number int) string {
	return fmt.Sprintf("10.%d.%d.%d:8080", number>>16&255, number>>8&255, number&255)
}

// newProfileWorkload returns the workload of a profile, in which every node needs every
// service.
func newProfileWorkload(chosen profile.Profile, seed uint64) *workload {
	w := &workload{zones: chosen.Zones, groups: []string{""}, groupsByService: map[string]map[string]bool{}, random: rand.New(rand.NewPCG(seed, 1)),
		timeout: initialTimeoutMillis, secret: "credential-0"}
	for _, service := range chosen.Services {
		w.groupsByService[service.Name] = map[string]bool{"": true}
		for i := range service.Backends {
			w.addMachine(service.Name, i)
		}
	}
	w.text = func(timeoutMillis int, secret string) string {
		var text strings.Builder
		for i, service := range chosen.Services {
			timeout := initialTimeoutMillis
			if i == 0 {
				timeout = timeoutMillis
			}
			writeService(&text, service.Name, chosen.Slots)
			writeRoute(&text, service.Name+"-reads", service.Reads, service.Name, "credential", "", timeout, false)
			writeRoute(&text, service.Name+"-writes", service.Writes, service.Name, "credential", "", initialTimeoutMillis, true)
		}
		writeSecret(&text, "credential", secret)
		return text.String()
	}
	return w
}

func writeService(text *strings.Builder, name string, slots int) {
	fmt.Fprintf(text, "[[service]]\nname = %q\nmax_concurrency = %d\n\n", name, slots)
}

func writeSecret(text *strings.Builder, name, value string) {
	fmt.Fprintf(text, "[[secret]]\nname = %q\nvalue = %q\n\n", name, value)
}

func writeRoute(text *strings.Builder, name, prefix, service, secret, group string, timeoutMillis int, once bool) {
	fmt.Fprintf(text, "[[route]]\nname = %q\npath_prefix = %q\nservice = %q\nsecret = %q\ntimeout = \"%dms\"\n", name, prefix, service, secret, timeoutMillis)
	if group != "" {
		fmt.Fprintf(text, "sources = [%q]\n", group)
	}
	if once {
		text.WriteString("once = true\n")
	}
	text.WriteString("\n")
}

func (w *workload) addMachine(service string, number int) {
	w.machines = append(w.machines, standin.Machine{
		Service: service, ID: fmt.Sprintf("%s-%d", service, number+1), Incarnation: 1,
		Address: fakeAddress(len(w.machines)), Zone: w.zones[len(w.machines)%len(w.zones)],
	})
}

// identities returns the identities of hollow nodes, distributed over zones and groups.
func (w *workload) identities(count int) []hollow.Identity {
	var all []hollow.Identity
	for i := range count {
		all = append(all, hollow.Identity{
			Name: fmt.Sprintf("hollow-%d", i+1), Zone: w.zones[i%len(w.zones)], Group: w.groups[i%len(w.groups)],
		})
	}
	return all
}

// restartMachine gives a random machine a new incarnation and returns the change to
// measure. groupOf maps node names to groups.
func (w *workload) restartMachine(groupOf map[string]string) *convergence.Change {
	machine := &w.machines[w.random.IntN(len(w.machines))]
	machine.Incarnation++
	restarted := *machine
	return &convergence.Change{
		Name: fmt.Sprintf("restart of %s", restarted.ID),
		Needs: func(node string) bool {
			return w.groupsByService[restarted.Service][groupOf[node]]
		},
		Matches: func(state *distribution.State) bool {
			return state.Endpoints[restarted.Service][restarted.ID].Incarnation >= restarted.Incarnation
		},
	}
}

// nextBundle changes the secret or a route's timeout and returns the new bundle file.
func (w *workload) nextBundle(kind string) string {
	if kind == changeSecret {
		w.secret = fmt.Sprintf("credential-%d", w.random.Uint32())
	} else {
		w.timeout++
	}
	return w.text(w.timeout, w.secret)
}

// versionChange returns the change to a version requested at the given time. A state includes it once that
// version, or a later one, is in force.
func versionChange(version uint64, at time.Time) *convergence.Change {
	return &convergence.Change{
		Name: fmt.Sprintf("version %d", version), At: at,
		Matches: func(state *distribution.State) bool { return state.Active.Manifest.Version >= version },
	}
}
