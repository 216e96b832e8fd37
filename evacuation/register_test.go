package evacuation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/evacuation"
	"mangoloft/history"
)

// step is a set of orders that a register receives, or a pause without one.
type step struct {
	after         time.Duration
	era, revision uint64
	orders        map[string]uint64
	want          []string
}

type orders = map[string]uint64

// TestRegister guards against orders that are reinstated or lost by readers of older states,
// and by restores of the store.
func TestRegister(t *testing.T) {
	tests := map[string][]step{
		"ordered and lifted": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 1, revision: 6, want: nil},
		},
		"earlier position changes nothing": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 1, revision: 6, want: nil},
			{era: 1, revision: 5, orders: orders{"b": 5}, want: nil},
		},
		"earlier position without orders changes nothing": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 1, revision: 4, want: []string{"b"}},
		},
		"earlier era changes nothing": {
			{era: 2, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 1, revision: 9, want: []string{"b"}},
		},
		"order that the copy lacks stays for a while": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 2, revision: 3, want: []string{"b"}},
			{after: 2900 * time.Millisecond, want: []string{"b"}},
			{after: 200 * time.Millisecond, want: nil},
		},
		"order that the copy lacks is written again": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 2, revision: 3, want: []string{"b"}},
			{after: time.Second, era: 2, revision: 4, orders: orders{"b": 4}, want: []string{"b"}},
			{after: 5 * time.Second, want: []string{"b"}},
		},
		"order that the copy lacks is written again and lifted": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 2, revision: 3, want: []string{"b"}},
			{era: 2, revision: 4, orders: orders{"b": 4}, want: []string{"b"}},
			{era: 2, revision: 5, want: nil},
		},
		"lifted order that the copy has again stays lifted for a while": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 1, revision: 9, want: nil},
			{era: 2, revision: 6, orders: orders{"b": 5}, want: nil},
			{after: 2900 * time.Millisecond, want: nil},
			{after: 200 * time.Millisecond, want: []string{"b"}},
		},
		"lifted order that the copy has again is lifted again": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 1, revision: 9, want: nil},
			{era: 2, revision: 6, orders: orders{"b": 5}, want: nil},
			{era: 2, revision: 7, want: nil},
			{after: 4 * time.Second, want: nil},
		},
		"lifted order is written anew after the restore": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 1, revision: 9, want: nil},
			{era: 2, revision: 6, orders: orders{"b": 5}, want: nil},
			{era: 2, revision: 7, orders: orders{"b": 7}, want: []string{"b"}},
		},
		"another order in the new era applies at once": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 2, revision: 4, orders: orders{"c": 4}, want: []string{"b", "c"}},
		},
		"two restores in a row": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 2, revision: 4, want: []string{"b"}},
			{after: 2 * time.Second, era: 3, revision: 4, want: []string{"b"}},
			{after: 1100 * time.Millisecond, want: nil},
		},
		"order written twice, of which the copy has the first": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 1, revision: 7, orders: orders{"b": 7}, want: []string{"b"}},
			{era: 2, revision: 6, orders: orders{"b": 5}, want: []string{"b"}},
		},
		"order written twice": {
			{era: 1, revision: 5, orders: orders{"b": 5}, want: []string{"b"}},
			{era: 1, revision: 7, orders: orders{"b": 7}, want: []string{"b"}},
			{era: 1, revision: 8, want: nil},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var r evacuation.Register
			for i, s := range steps {
				now = now.Add(s.after)
				r.Tick(now)
				if s.revision > 0 {
					r.Update(now, evacuation.Orders{At: history.Position{Era: s.era, Revision: s.revision}, DataCentres: s.orders})
				}
				assert.DeepEqual(t, r.DataCentres(), s.want)
				for _, dataCentre := range []string{"a", "b", "c"} {
					active := false
					for _, want := range s.want {
						active = active || want == dataCentre
					}
					assert.Equal(t, r.Active(dataCentre), active, "step %d, data centre %s", i, dataCentre)
				}
			}
		})
	}
}

// TestUnusedRegisterSaysNothing guards against datagrams that grow where there are no orders,
// and against instances that don't tell others that an order was lifted before they started.
func TestUnusedRegisterSaysNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	var r evacuation.Register
	r.Update(now, evacuation.Orders{At: history.Position{Era: 1, Revision: 9}})
	assert.Assert(t, r.Current().At.IsZero())
	r.Update(now, evacuation.Orders{At: history.Position{Era: 1, Revision: 5}, DataCentres: orders{"b": 5}})
	assert.Assert(t, !r.Active("b"))
	assert.Equal(t, r.Current().At, history.Position{Era: 1, Revision: 9})
}

// TestChangesOfOrders guards against changes that a read has already included.
func TestChangesOfOrders(t *testing.T) {
	at := evacuation.Orders{At: history.Position{Era: 1, Revision: 5}, DataCentres: orders{"b": 8}}
	assert.DeepEqual(t, at.With(evacuation.Key{DataCentre: "b", Revision: 6, Deleted: true}).DataCentres, orders{"b": 8})
	assert.DeepEqual(t, at.With(evacuation.Key{DataCentre: "b", Revision: 9, Deleted: true}).DataCentres, orders{})
	assert.DeepEqual(t, at.With(evacuation.Key{DataCentre: "c", Revision: 9}).DataCentres, orders{"b": 8, "c": 9})
	assert.DeepEqual(t, at.DataCentres, orders{"b": 8})
}
