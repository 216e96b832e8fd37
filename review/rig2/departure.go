package main

import (
	"fmt"
	"time"
)

const (
	// drainTime is the time after the store's acknowledgement from which no request may reach a
	// server that leaves (drain-ms).
	drainTime = 2000 * time.Millisecond
	// leaveDelay is the time from the loss of power to the removal of the server's entry.
	leaveDelay = 50 * time.Millisecond
)

// departure is the removal of a server's entry.
type departure struct {
	server  *server
	ackedAt time.Time
}

// playDeparture lets the machines that read the store lose power, and a server leave a little
// later that never reports that it drains: its entry is removed.
func playDeparture(r *rig) (bool, error) {
	c, stop, err := r.startFleet()
	if err != nil {
		return false, err
	}
	var departures []departure
	for n := range departureRounds {
		r.readersLosePower()
		time.Sleep(leaveDelay)
		leaving := r.serverOf(deskService, zoneNames[n])
		r.store.RemoveEntry(leaving.id)
		departures = append(departures, departure{leaving, time.Now()})
		r.note("store acknowledged: the entry of %s is removed", leaving.id)
		time.Sleep(roundTime / 2)
		if _, err := r.addServer(leaving.id+"-next", deskService, leaving.zone); err != nil {
			return false, err
		}
		time.Sleep(roundTime / 2)
	}
	stop()
	return c.judgeDepartures(departures), nil
}

// serverOf returns the first server of a service in a zone.
func (r *rig) serverOf(service, zone string) *server {
	for _, s := range r.servers {
		if s.service == service && s.zone == zone {
			return s
		}
	}
	return nil
}

// judgeDepartures reports whether a request reached a server later than drainTime after the
// removal of its entry was acknowledged.
func (c *clients) judgeDepartures(departures []departure) bool {
	late := 0
	for _, d := range departures {
		latest := time.Duration(0)
		for _, e := range d.server.executions() {
			after := e.at.Sub(d.ackedAt)
			latest = max(latest, after)
			if after > drainTime {
				late++
				c.rig.note("DRAIN: %s reached %s %d ms after the acknowledgement", e.id, d.server.id, after.Milliseconds())
			}
		}
		c.rig.note("the last request reached %s %d ms after the acknowledgement", d.server.id, latest.Milliseconds())
		fmt.Printf("the last request reached %s %d ms after the acknowledgement\n", d.server.id, latest.Milliseconds())
	}
	c.rig.note("%d requests reached a server too late", late)
	fmt.Printf("%d requests reached a server too late\n", late)
	return late > 0
}
