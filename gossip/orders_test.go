package gossip

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/evacuation"
	"mangoloft/history"
)

// submitAsReader submits orders as if the node had read them from the store.
func (n *simulatedNode) submitAsReader(o evacuation.Orders) {
	n.UpdateOrders(o, "")
	n.peers.OrdersChanged(o)
}

func (n *simulatedNode) evacuates(dataCentre string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.orders.Active(dataCentre)
}

// TestOrdersReachAllInstances guards against orders, and ends of orders, that some instances never
// hear of, if only one instance of one data centre can read the store, and datagrams are lost.
func TestOrdersReachAllInstances(t *testing.T) {
	tests := map[string]struct {
		dataCentres, perDataCentre int
		// lossShare is the share of datagrams that are lost, and within the time in which all
		// instances must know the orders.
		lossShare float64
		within    time.Duration
	}{
		"18 instances":               {3, 6, 0, 100 * time.Millisecond},
		"130 instances":              {4, 33, 0, 100 * time.Millisecond},
		"300 instances":              {6, 50, 0, 100 * time.Millisecond},
		"18 instances, a fifth lost": {3, 6, 0.2, time.Second},
		// A datagram between two data centres may be lost; heartbeats compensate.
		"130 instances, a fifth lost": {4, 33, 0.2, 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, test.dataCentres, test.perDataCentre, func(t *testing.T, fleet *simulatedFleet) {
				random := rand.New(rand.NewPCG(1, 2))
				fleet.mu.Lock()
				fleet.lose = func() bool { return random.Float64() < test.lossShare }
				fleet.mu.Unlock()
				reader := fleet.nodes[len(fleet.nodes)-1]
				check := func(want bool) {
					startedAt, sent := time.Now(), fleet.sentBytes()
					time.Sleep(20 * time.Millisecond)
					t.Logf("%d bytes in the first 20 ms", fleet.sentBytes()-sent)
					for {
						missing := 0
						for _, n := range fleet.nodes {
							if n.evacuates("dc1") != want {
								missing++
							}
						}
						if missing == 0 {
							t.Logf("all instances know after %v", time.Since(startedAt))
							return
						}
						assert.Assert(t, time.Since(startedAt) < test.within, "%d instances don't know after %v", missing, test.within)
						time.Sleep(10 * time.Millisecond)
					}
				}
				reader.submitAsReader(evacuation.Orders{At: history.Position{Era: 1, Revision: 5}, DataCentres: map[string]uint64{"dc1": 5}})
				check(true)
				time.Sleep(time.Second)
				reader.submitAsReader(evacuation.Orders{At: history.Position{Era: 1, Revision: 9}})
				check(false)
			})
		})
	}
}

func (f *simulatedFleet) sentBytes() int64 {
	total := int64(0)
	for _, n := range f.nodes {
		total += n.sentBytes.Load()
	}
	return total
}

// TestOrdersOfOlderStatesChangeNothing guards against an instance that goes on after a pause and
// reinstates an order that was lifted.
func TestOrdersOfOlderStatesChangeNothing(t *testing.T) {
	runFleet(t, 2, 3, func(t *testing.T, fleet *simulatedFleet) {
		paused, reader := fleet.nodes[0], fleet.nodes[3]
		reader.submitAsReader(evacuation.Orders{At: history.Position{Revision: 5}, DataCentres: map[string]uint64{"dc1": 5}})
		time.Sleep(time.Second)
		paused.down.Store(true)
		reader.submitAsReader(evacuation.Orders{At: history.Position{Revision: 9}})
		time.Sleep(5 * time.Second)
		assert.Assert(t, paused.evacuates("dc1"))
		paused.down.Store(false)
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			for _, n := range fleet.nodes[1:] {
				assert.Assert(t, !n.evacuates("dc1"))
			}
		}
		assert.Assert(t, !paused.evacuates("dc1"))
	})
}

func TestDecodeOrders(t *testing.T) {
	tests := map[string]struct {
		wire ordersWire
		ok   bool
	}{
		"none":                 {ordersWire{Revision: 5}, true},
		"one":                  {ordersWire{1, 5, map[string]uint64{"b": 5}}, true},
		"no position":          {ordersWire{}, false},
		"implausible era":      {ordersWire{1 << 40, 5, nil}, false},
		"no name":              {ordersWire{1, 5, map[string]uint64{"": 5}}, false},
		"no revision":          {ordersWire{1, 5, map[string]uint64{"b": 0}}, false},
		"long name":            {ordersWire{1, 5, map[string]uint64{strings.Repeat("b", 201): 5}}, false},
		"name that isn't text": {ordersWire{1, 5, map[string]uint64{"\xff": 5}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := decodeOrders(&test.wire)
			assert.Equal(t, err == nil, test.ok, "%v", err)
		})
	}
}
