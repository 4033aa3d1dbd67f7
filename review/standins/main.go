package standins

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Case is what a case does with a deployment that has not started yet. It returns whether the rule was broken, or an
// error if the case could not run.
type Case func(d *Deployment, trouble bool) (broken bool, err error)

// Main runs a case as a program and returns its exit code.
func Main(replicas int, services []string, run Case) int {
	root := flag.String("root", ".", "the repository's root")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	record, err := NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer record.Close()
	d, err := NewDeployment(*root, record, replicas, services)
	if err != nil {
		record.Say("the case could not run: %v", err)
		return ExitNotRun
	}
	defer d.Close()
	broken, err := run(d, os.Getenv("TROUBLE") != "0")
	for _, m := range d.machines() {
		if err == nil && !m.Running() {
			record.Say("%s has ended by itself", m.Name)
		}
	}
	switch {
	case err != nil:
		record.Say("the case could not run: %v", err)
		return ExitNotRun
	case broken:
		record.Say("the rule was broken")
		return ExitBroken
	}
	record.Say("the rule held")
	return ExitHeld
}

// Begin starts the deployment and one back end beside each node, takes the first configuration, and waits until the
// nodes are ready and have learned of the back ends. Back ends are named after their machines' numbers.
func (d *Deployment) Begin(first []byte, capacity int, decide func(Call) Reply) ([]*Backend, error) {
	if err := d.Start(); err != nil {
		return nil, err
	}
	var backends []*Backend
	for i, m := range d.Sides {
		b := &Backend{ID: fmt.Sprintf("i-%d%06x", i+1, os.Getpid()), Service: m.Service, Machine: m, Capacity: capacity, Decide: decide}
		if err := b.Start(); err != nil {
			return nil, err
		}
		backends = append(backends, b)
	}
	status, _, err := NewOperator(d).PutConfig("the first configuration", first, 20*time.Second)
	if err != nil || status != 200 {
		return nil, fmt.Errorf("the first configuration got %d: %v", status, err)
	}
	if err := d.AwaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(ContactTime + HeartbeatTime)
	return backends, nil
}
