package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// applyTime is a little more than the time in which a configuration must be in force.
const applyTime = 2500 * time.Millisecond

// playTimeoutInQueue fills the model servers with long streams, as when many users come at
// once, and sends further ones, which have to wait. The disruption is a change of the
// configuration before these: the timeout of each streaming route becomes its target latency.
func playTimeoutInQueue(ctx context.Context, r *rig) ([]string, error) {
	const slots = 4
	servers := []*server{
		{id: "engine-a", service: modelService, zone: "zone-a", isModel: true, slots: slots, eventTime: 60 * time.Millisecond},
		{id: "engine-b", service: modelService, zone: "zone-b", isModel: true, slots: slots, eventTime: 60 * time.Millisecond},
	}
	if err := r.startSite(servers, slots, "zone-a", "zone-b"); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	var answers []*answer
	send := func(route string, events int, deadline time.Duration) {
		a, n := &answer{}, r.nodes[len(answers)%len(r.nodes)]
		answers = append(answers, a)
		group.Go(func() { *a = r.sendAndRecord(ctx, n, r.stream(route, events, deadline)) })
		time.Sleep(50 * time.Millisecond)
	}
	// These fill all slots for 8 s.
	for range 2 * slots {
		send(routeBrief, 133, 39*time.Second)
	}
	if r.trouble {
		routes := siteRoutes()
		for i := range routes {
			if routes[i].kind == "streaming" {
				routes[i].timeoutMS = routes[i].targetMS
			}
		}
		if err := r.publish(17, slots, routes); err != nil {
			return nil, err
		}
	}
	time.Sleep(applyTime)
	for range 3 {
		send(routeBrief, 10, 39*time.Second)
		send(routeTag, 4, 6*time.Second)
	}
	group.Wait()
	var breaks []string
	for _, a := range answers {
		runs := 0
		for _, s := range servers {
			runs += s.runsOf(a.id)
		}
		if a.isUnsignedSuccess() {
			breaks = append(breaks, fmt.Sprintf("MIXED: %s got status %d with %d bytes and no Server-Signature after %v; it ran %d times", a.id, a.status, len(a.body), a.took.Round(time.Millisecond), runs))
		}
	}
	return breaks, nil
}
