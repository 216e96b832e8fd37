package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// takeoverRounds is the number of times that the readers lose power, darkTime for how long
	// (the site's node_kill), and roundTime the time between two of them.
	takeoverRounds = 3
	darkTime       = 3500 * time.Millisecond
	roundTime      = 12 * time.Second
	// publishDelay is the time from the loss of power to the change of the configuration.
	publishDelay   = 20 * time.Millisecond
	settleTime     = 4 * time.Second
	callInterval   = 25 * time.Millisecond
	streamInterval = 700 * time.Millisecond
)

// zoneNames are the zones of the fleet. Each has two instances, of which the first one reads
// the store.
var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// firstRoutes are the routes of the first configuration.
var firstRoutes = []route{{"topup", "unsafe", "old"}, {"brief", "streaming", engineService}}

// startFleet starts instances and servers in three zones, and clients of which only streams are
// sent to the instances that read the store. The returned function stops the clients.
func (r *rig) startFleet() (c *clients, stop func(), err error) {
	var seeds []netip.Addr
	for z := range zoneNames {
		seeds = append(seeds, netip.AddrFrom4([4]byte{127, 0, byte(z + 1), 1}))
	}
	for z, zone := range zoneNames {
		for _, service := range []string{"old", "new"} {
			if _, err := r.addServer(service+"-"+zone, service, zone); err != nil {
				return nil, nil, err
			}
		}
		if _, err := r.addEngine("engine-"+zone, zone); err != nil {
			return nil, nil, err
		}
		for n := range 2 {
			if _, err := r.addInstance(fmt.Sprintf("edge-%s-%d", zone, n+1), zone, netip.AddrFrom4([4]byte{127, 0, byte(z + 1), byte(n + 1)}), seeds); err != nil {
				return nil, nil, err
			}
		}
	}
	if err := r.publish(1, firstRoutes...); err != nil {
		return nil, nil, err
	}
	if err := r.waitReady(); err != nil {
		return nil, nil, err
	}
	time.Sleep(settleTime)
	c = newClients(r)
	done := make(chan struct{})
	var group sync.WaitGroup
	for n, i := range r.instances {
		if !isReader(n) {
			group.Go(func() { c.load(i, "topup", callInterval, done, &group) })
		}
		group.Go(func() { c.load(i, "brief", streamInterval, done, &group) })
	}
	time.Sleep(settleTime)
	return c, func() {
		close(done)
		group.Wait()
	}, nil
}

// isReader reports whether the n-th instance is the first one of its zone.
func isReader(n int) bool { return n%2 == 0 }

// readersLosePower lets the instances that read the store lose power, unless the case is
// played without its disruption.
func (r *rig) readersLosePower() {
	if !r.trouble {
		return
	}
	for n, i := range r.instances {
		if isReader(n) {
			r.note("%s loses power for %v", i.name, darkTime)
			i.losePower(darkTime)
		}
	}
}

// playTakeover lets the machines that read the store lose power, and publishes a
// configuration at once. The others must apply it within config-apply-ms.
func playTakeover(r *rig) (bool, error) {
	c, stop, err := r.startFleet()
	if err != nil {
		return false, err
	}
	var changes []change
	for n := range takeoverRounds {
		r.readersLosePower()
		time.Sleep(publishDelay)
		service := []string{"new", "old"}[n%2]
		if err := r.publish(n+2, route{"topup", "unsafe", service}, firstRoutes[1]); err != nil {
			return false, err
		}
		changes = append(changes, change{service, time.Now()})
		time.Sleep(roundTime)
	}
	stop()
	return c.judgeChanges(changes), nil
}

// change is a version that sends the calls to a service, and when it was acknowledged.
type change struct {
	service string
	ackedAt time.Time
}

// judgeChanges reports whether a call that was sent later than configApply after a change was
// run by the service of the version before. Only calls to machines that were never disturbed
// are sent.
func (c *clients) judgeChanges(changes []change) bool {
	ranBy := map[string]string{}
	for _, s := range c.rig.servers {
		for _, e := range s.executions() {
			ranBy[e.id] = s.service
		}
	}
	late := 0
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, ch := range changes {
		latest := time.Duration(0)
		for _, a := range c.answers {
			after := a.sentAt.Sub(ch.ackedAt)
			service := ranBy[a.id]
			if after <= configApply || after > roundTime || service == ch.service || service == engineService || service == "" || a.status != http.StatusOK {
				continue
			}
			late++
			latest = max(latest, after)
			c.rig.note("CONFIG: %s, sent to %s %d ms after the acknowledgement, was run by the old service", a.id, a.instance.name, after.Milliseconds())
		}
		c.rig.note("change %d: the last call that was handled by the older version was sent %d ms after the acknowledgement, if later than %d ms", n+1, latest.Milliseconds(), configApply.Milliseconds())
	}
	c.rig.note("%d of %d requests were handled by an older version too late", late, len(c.answers))
	fmt.Printf("%d of %d requests were handled by an older version too late\n", late, len(c.answers))
	return late > 0
}
