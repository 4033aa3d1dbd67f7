// Case 2: a node acknowledges that its back end leaves and is killed right after; the departure is forgotten.
package main

import (
	"fmt"
	"sync"
	"time"

	"bramblelift/review"
)

// quiet is how long after the node's return no request is sent: it is then in touch again, and drain_ms has passed.
const quiet = review.ContactTime + 700*time.Millisecond

func main() { review.Main(run) }

func run(record *review.Record, trouble bool) (broken []string, err error) {
	d, err := review.New(".", record,
		review.Node{Name: "node-1", Zone: "zone-a", Service: "store"},
		review.Node{Name: "node-2", Zone: "zone-b", Service: "store"},
		review.Node{Name: "node-3", Zone: "zone-a", Service: "front"})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	if err := d.Start(); err != nil {
		return nil, err
	}
	document := review.Document(1, 0, []string{"store", "front"},
		review.Rule{Name: "read", Kind: "safe", Prefix: "/read/", Service: "store", TargetMs: 1000, TimeoutMs: 5000, Attempt: 2},
		review.Rule{Name: "order", Kind: "unsafe", Prefix: "/order/", Service: "store", TargetMs: 1000, TimeoutMs: 5000, Attempt: 2})
	if err := d.PutConfig(document, 15*time.Second); err != nil {
		return nil, err
	}
	if err := d.AwaitReady(15*time.Second, d.Nodes...); err != nil {
		return nil, err
	}
	leaving := &review.Backend{ID: "i-1", Slots: 6, Queue: 4}
	other := &review.Backend{ID: "i-2", Slots: 6, Queue: 4}
	front := &review.Backend{ID: "i-3", Slots: 6, Queue: 4}
	for i, b := range []*review.Backend{leaving, other, front} {
		if err := b.Start(d.Nodes[i]); err != nil {
			return nil, err
		}
		defer b.Stop()
	}
	node, caller := d.Nodes[0], d.Nodes[2]
	if err := d.WarmUp(caller); err != nil {
		return nil, err
	}
	// The core and the other machines are undisturbed from here on.
	time.Sleep(review.ContactTime)
	if !leaving.Leave() {
		return nil, fmt.Errorf("the departure was not acknowledged")
	}
	acknowledged := time.Now()
	if trouble {
		record.Note("disrupt   %s is killed right after its acknowledgement", node.Name)
		node.Kill()
		time.Sleep(500 * time.Millisecond)
		record.Note("disrupt   %s is started again", node.Name)
		if err := node.Start(); err != nil {
			return nil, err
		}
	}
	if err := d.AwaitReady(10*time.Second, node); err != nil {
		return nil, err
	}
	record.Note("all machines are ready, and no request is sent for %s", quiet)
	time.Sleep(quiet)
	sendAll(d, caller, leaving)
	time.Sleep(500 * time.Millisecond)
	noteLost(record)
	return lateRuns(record, leaving.ID, acknowledged), nil
}

// sendAll sends orders and reads at the same time. While they are at work the leaving back end ends, as it had said.
func sendAll(d *review.Deployment, caller *review.Machine, leaving *review.Backend) {
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(150 * time.Millisecond)
		leaving.Stop()
	})
	for i := range 8 {
		group.Go(func() {
			q := review.Request{ID: fmt.Sprintf("late-%d", i), Path: "/read/work-300", Deadline: 3 * time.Second}
			if i%2 == 0 {
				q.Path, q.Body = "/order/work-300", "one table"
			}
			d.Send(caller, q)
		})
	}
	group.Wait()
}

// noteLost notes the orders that a back end had begun and that got no answer of a back end.
func noteLost(record *review.Record) {
	for id, a := range record.Answers() {
		if a.Unsafe && a.Seal == "" && len(record.RunsOf(id)) > 0 {
			record.Note("lost      %s was begun and was answered %d without a back end's seal", id, a.Status)
		}
	}
}

// lateRuns returns a line for each request that reached the back end later than drain_ms after its departure was
// acknowledged.
func lateRuns(record *review.Record, backend string, acknowledged time.Time) []string {
	var broken []string
	for _, run := range record.Runs() {
		if late := run.At.Sub(acknowledged); run.Backend == backend && late > review.DrainTime {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached back end %s %.1f s after its departure was acknowledged", run.ID, backend, late.Seconds()))
		}
	}
	return broken
}
