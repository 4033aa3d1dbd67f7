// Command case shows that a back end's bytes that are not an answer reach the client as a success. With
// VARIANT=upgrade the bytes are an unasked 101: then the client gets no answer at all, and its slot stays taken.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"bramblelift/review/standins"
)

const (
	host = "shop.example"
	// Two of six back ends spoil two in a hundred of their answers for 5.5 s, as `garble` does.
	spoiledShare = 0.02
	faultTime    = 5500 * time.Millisecond
	sendTime     = 12 * time.Second
	perSecond    = 300
	timeout      = 600 * time.Millisecond
	deadline     = 2 * time.Second
	// grace is how long after the route's timeout the rule CONFIG lets an answer come, tooMany how many may have none.
	grace   = 500 * time.Millisecond
	tooMany = 8
)

// What a faulty back end writes in place of its answer.
const (
	noStatus = "HTTP/1.1 000 \r\nBramblelift-Attempt-Id: %s\r\nContent-Length: 14\r\n\r\nout of memory\n"
	upgrade  = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: none\r\nBramblelift-Attempt-Id: %s\r\n\r\n"
)

type judge struct {
	mu          sync.Mutex
	upgrades    bool
	faultyUntil time.Time
	spoiled     map[string]bool
	statuses    map[int]int
	// successes counts the 2xx, unsealed those without a back end's whole answer.
	successes, unsealed int
	// pastTimeout counts the requests unanswered at the route's timeout, unanswered those still so half a second later.
	pastTimeout, unanswered int
}

func (j *judge) decide(call standins.Call) standins.Reply {
	j.mu.Lock()
	defer j.mu.Unlock()
	reply := standins.Reply{After: 15 * time.Millisecond}
	faulty := strings.HasPrefix(call.Backend.ID, "i-1") || strings.HasPrefix(call.Backend.ID, "i-2")
	if !faulty || time.Now().After(j.faultyUntil) || rand.Float64() >= spoiledShare {
		return reply
	}
	j.spoiled[call.ID] = true
	call.Backend.Machine.Note("the back end spoils its answer to %s", call.ID)
	reply.Raw = fmt.Appendf(nil, noStatus, call.ID)
	if j.upgrades {
		reply.Raw, reply.Keep = fmt.Appendf(nil, upgrade, call.ID), true
	}
	return reply
}

func (j *judge) check(d *standins.Deployment, a standins.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.statuses[a.Status]++
	if a.Took > timeout {
		j.pastTimeout++
	}
	if a.Took > timeout+grace {
		j.unanswered++
	}
	if a.Status/100 != 2 {
		return
	}
	j.successes++
	if a.Header.Get(standins.HeaderSeal) != "seal."+a.ID || string(a.Body) != "answer to "+a.ID {
		j.unsealed++
		d.Record.Line("the success of %s isn't a back end's: %q", a.ID, a.Body)
	}
}

func run(d *standins.Deployment, trouble bool) (bool, error) {
	j := &judge{spoiled: map[string]bool{}, statuses: map[int]int{}, upgrades: os.Getenv("VARIANT") == "upgrade"}
	config := standins.Config(5, 0, host, []standins.Route{
		{Name: "order", Kind: "unsafe", Prefix: "/orders/", Service: "orders", Timeout: timeout, MaxAttempts: 2},
	}, nil)
	if _, err := d.Begin(config, 6, j.decide); err != nil {
		return false, err
	}
	start := time.Now()
	if trouble {
		j.mu.Lock()
		j.faultyUntil = start.Add(faultTime)
		j.mu.Unlock()
	}
	var all sync.WaitGroup
	for i := 0; time.Since(start) < sendTime; i++ {
		m := d.Sides[i%len(d.Sides)]
		all.Go(func() {
			path := fmt.Sprintf("/orders/%d", i)
			j.check(d, standins.Send(m, standins.Request{Method: "POST", Host: host, Path: path, Body: []byte(path), Deadline: deadline}))
		})
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / perSecond)))
	}
	all.Wait()
	j.mu.Lock()
	defer j.mu.Unlock()
	d.Record.Say("statuses %v (0: no answer); %d answers spoiled; %d successes, %d of them not a back end's; %d requests unanswered at the route's timeout, %d of them half a second later",
		j.statuses, len(j.spoiled), j.successes, j.unsealed, j.pastTimeout, j.unanswered)
	if j.upgrades {
		return j.unanswered >= tooMany && 2*j.unanswered > j.pastTimeout, nil
	}
	return j.unsealed > 0, nil
}

func main() {
	os.Exit(standins.Main(4, []string{"orders", "orders", "orders", "orders", "orders", "orders"}, run))
}
