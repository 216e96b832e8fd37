package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	// departureRounds is the number of times that the readers lose power, darkTime for how long
	// (the site's node_kill), and roundTime the time between two of them.
	departureRounds = 3
	darkTime        = 3500 * time.Millisecond
	roundTime       = 12 * time.Second
	settleTime      = 4 * time.Second
	callInterval    = 25 * time.Millisecond
	streamInterval  = 700 * time.Millisecond
)

// zoneNames are the zones of the fleet. Each has two instances, of which the first one reads
// the store.
var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// routes are the routes of the configuration.
var routes = []route{{"topup", "unsafe", deskService}, {"brief", "streaming", engineService}}

// startFleet starts instances and servers in three zones, and clients of which only streams are
// sent to the instances that read the store. The returned function stops the clients.
func (r *rig) startFleet() (c *clients, stop func(), err error) {
	var seeds []netip.Addr
	for z := range zoneNames {
		seeds = append(seeds, netip.AddrFrom4([4]byte{127, 0, byte(z + 1), 1}))
	}
	for z, zone := range zoneNames {
		if _, err := r.addServer("desk-"+zone, deskService, zone); err != nil {
			return nil, nil, err
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
	if err := r.publish(1, routes...); err != nil {
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
