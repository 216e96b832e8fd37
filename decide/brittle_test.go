package decide_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// brittleFleet simulates instances and brittle servers.
type brittleFleet struct {
	random      *rand.Rand
	now         time.Time
	queue       eventQueue
	instances   []*brittleInstance
	servers     []*brittleServer
	dataCentres int
	// rejections is the number of rejections in a second that a server bears, and room the
	// number of calls that it runs at a time.
	rejections, room int
	sequence         uint64
	falls            int
	sent, served     int
}

const (
	brittlePool = "desk"
	// listedSlots is the number of slots of a server, and calmRoom the number of calls that
	// run or wait there before it is brittle.
	listedSlots, calmRoom = 8, 64
	callTime              = 100 * time.Millisecond
	// toServer, toMember and noticeTime are the times that messages take, and noticeLoss
	// is the share of the notices that are lost.
	toServer, toMember = 1 * time.Millisecond, 2 * time.Millisecond
	noticeTime         = 60 * time.Millisecond
	noticeLoss         = 0.03
	// restartTime is the time for which a server that fell over is away, and detectTime
	// the time after which the members notice that an instance has died.
	restartTime = 2 * time.Second
	detectTime  = 1500 * time.Millisecond
)

type simulatedEvent struct {
	at     time.Time
	number uint64
	run    func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// brittleInstance is an instance with the calls that wait for a decision.
type brittleInstance struct {
	fleet      *brittleFleet
	scheduler  *decide.Scheduler
	control    netip.AddrPort
	dataCentre string
	isDead     bool
	pending    map[ident.Request]func(decide.Action)
}

type brittleServer struct {
	listed     decide.Upstream
	isDown     bool
	running    map[ident.Request]func(outcome)
	rejections []time.Time
}

// outcome is what a server or a coordinator answered.
type outcome uint8

const (
	answered outcome = iota
	// rejected by the server for want of room.
	rejected
	// noRoom at the coordinator, which has not sent the call.
	noRoom
	lostAnswer
	unreachable
)

func newBrittleFleet(seed uint64, instances, servers, dataCentres, rejections int) *brittleFleet {
	f := &brittleFleet{random: rand.New(rand.NewPCG(seed, uint64(instances))), now: epoch, dataCentres: dataCentres, rejections: rejections, room: calmRoom}
	for n := range servers {
		f.servers = append(f.servers, &brittleServer{listed: decide.Upstream{
			Name: fmt.Sprint("u", n), Pool: brittlePool, DataCentre: fmt.Sprint("dc", n%dataCentres), Incarnation: 1, Slots: listedSlots,
		}})
	}
	for n := range instances {
		i := &brittleInstance{fleet: f, dataCentre: fmt.Sprint("dc", n%dataCentres), pending: map[ident.Request]func(decide.Action){}}
		i.control = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n % dataCentres), byte(n / 250), byte(n % 250)}), 80)
		i.scheduler = decide.New(i.dataCentre)
		i.scheduler.SetInstances(epoch, instances)
		f.instances = append(f.instances, i)
	}
	for _, s := range f.servers {
		s.running = map[ident.Request]func(outcome){}
	}
	f.publishServers()
	f.publishMembers()
	for _, i := range f.instances {
		f.after(time.Duration(f.random.IntN(20))*time.Millisecond, i.tick)
	}
	return f
}

func (f *brittleFleet) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, simulatedEvent{f.now.Add(d), f.sequence, run})
}

func (f *brittleFleet) runFor(d time.Duration) {
	for end := f.now.Add(d); len(f.queue) > 0 && f.queue[0].at.Before(end); {
		e := heap.Pop(&f.queue).(simulatedEvent)
		f.now = e.at
		e.run()
	}
}

// publishServers tells all instances of the servers that are up.
func (f *brittleFleet) publishServers() {
	var list []decide.Upstream
	for _, s := range f.servers {
		if !s.isDown {
			list = append(list, s.listed)
		}
	}
	for _, i := range f.instances {
		i.step(decide.UpstreamsChanged{Upstreams: list})
	}
}

// publishMembers tells all instances of the live ones of their data centre.
func (f *brittleFleet) publishMembers() {
	for _, i := range f.instances {
		e := decide.MembersChanged{Self: i.control}
		for _, other := range f.instances {
			if other != i && !other.isDead && other.dataCentre == i.dataCentre {
				e.Others = append(e.Others, decide.Member{Control: other.control})
			}
		}
		i.step(e)
	}
}

func (i *brittleInstance) tick() {
	if !i.isDead {
		i.step(decide.Tick{})
		i.fleet.after(20*time.Millisecond, i.tick)
	}
}

func (i *brittleInstance) step(e decide.Event) {
	f := i.fleet
	if i.isDead {
		return
	}
	for _, action := range i.scheduler.Step(f.now, e) {
		switch a := action.(type) {
		case decide.Place:
			i.decided(a.ID, a)
		case decide.Refuse:
			i.decided(a.ID, a)
		case decide.NotifyBrittle:
			for _, other := range f.instances {
				if other != i && f.random.Float64() >= noticeLoss {
					f.after(noticeTime, func() { other.step(decide.BrittleNoticeReceived{Notice: a.Notice}) })
				}
			}
		}
	}
}

func (i *brittleInstance) decided(id ident.Request, a decide.Action) {
	if decided, ok := i.pending[id]; ok {
		delete(i.pending, id)
		i.fleet.after(0, func() { decided(a) })
	}
}

// serve serves a call as the gateway does. The call is for one server only if another
// instance sent it.
func (i *brittleInstance) serve(only string, excluded []string, attempts int, done func(outcome)) {
	f := i.fleet
	f.sequence++
	r := decide.Request{
		ID: ident.Request{Sequence: f.sequence}, Only: only, Excluded: excluded, CanUseCoordinator: only == "", NeverSent: true,
		Class: config.Class{Name: "read", Pool: brittlePool, Kind: config.Read, WaitTarget: 60 * time.Millisecond}, StartBy: f.now.Add(60 * time.Millisecond),
	}
	end := func(place decide.Place, o outcome) {
		if i.isDead {
			done(lostAnswer)
			return
		}
		ended := verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}
		if o != answered {
			ended = verdict.Outcome{Verdict: verdict.NotRun, Reason: verdict.UpstreamRefused}
		}
		i.step(decide.Ended{ID: r.ID, Outcome: ended})
		switch {
		case o == answered || only != "" || attempts == 3:
			done(o)
		case o == unreachable && place.Coordinator.IsValid():
			i.step(decide.CoordinatorFailed{Upstream: place.Upstream.Name, Coordinator: place.Coordinator})
			i.serve(only, excluded, attempts+1, done)
		default:
			i.serve(only, append(slices.Clone(excluded), place.Upstream.Name), attempts+1, done)
		}
	}
	i.pending[r.ID] = func(a decide.Action) {
		place, placed := a.(decide.Place)
		switch {
		case !placed:
			done(noRoom)
		case place.Coordinator.IsValid():
			f.after(toMember, func() {
				coordinator := f.member(place.Coordinator)
				if coordinator.isDead {
					f.after(toMember, func() { end(place, unreachable) })
					return
				}
				coordinator.serve(place.Upstream.Name, nil, 0, func(o outcome) { f.after(toMember, func() { end(place, o) }) })
			})
		default:
			f.after(toServer, func() {
				f.server(place.Upstream).run(f, r.ID, func(o outcome) {
					f.after(toServer, func() {
						if o == answered || o == rejected {
							i.step(decide.BrittleReported{Upstream: place.Upstream.Name, Incarnation: place.Upstream.Incarnation, MaxRejections: f.rejections, Rejected: o == rejected})
						}
						end(place, o)
					})
				})
			})
		}
	}
	i.step(decide.Arrived{Request: r})
}

func (f *brittleFleet) member(control netip.AddrPort) *brittleInstance {
	return f.instances[slices.IndexFunc(f.instances, func(i *brittleInstance) bool { return i.control == control })]
}

// server returns the server if it is still the listed one, or nil.
func (f *brittleFleet) server(u decide.Upstream) *brittleServer {
	n := slices.IndexFunc(f.servers, func(s *brittleServer) bool {
		return s.listed.Name == u.Name && s.listed.Incarnation == u.Incarnation && !s.isDown
	})
	if n < 0 {
		return nil
	}
	return f.servers[n]
}

func (s *brittleServer) run(f *brittleFleet, id ident.Request, done func(outcome)) {
	if s == nil {
		done(unreachable)
		return
	}
	if len(s.running) < f.room {
		s.running[id] = done
		incarnation := s.listed.Incarnation
		f.after(callTime, func() {
			if s.listed.Incarnation == incarnation && s.running[id] != nil {
				delete(s.running, id)
				done(answered)
			}
		})
		return
	}
	s.rejections = append(slices.DeleteFunc(s.rejections, func(at time.Time) bool { return f.now.Sub(at) > time.Second }), f.now)
	if len(s.rejections) <= f.rejections {
		done(rejected)
		return
	}
	f.falls++
	s.isDown = true
	for _, ended := range s.running {
		ended(lostAnswer)
	}
	clear(s.running)
	s.rejections = nil
	f.publishServers()
	done(lostAnswer)
	f.after(restartTime, func() {
		s.listed.Incarnation++
		s.isDown = false
		f.publishServers()
	})
}

// submit submits calls at random times until the end, to random instances.
func (f *brittleFleet) submit(perSecond float64, end time.Time) {
	var next func()
	next = func() {
		if i := f.instances[f.random.IntN(len(f.instances))]; !i.isDead {
			f.sent++
			i.serve("", nil, 0, func(o outcome) {
				if o == answered {
					f.served++
				}
			})
		}
		if f.now.Before(end) {
			f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
	}
	f.after(0, next)
}

// TestBrittleUpstreamsDoNotFallOver simulates servers that declare themselves brittle, and
// from 5 s later run fewer calls at a time, under about twice the load that they have room
// for.
func TestBrittleUpstreamsDoNotFallOver(t *testing.T) {
	const (
		fewServers  = 6
		minUsed     = 0.9
		seeds       = 5
		before      = 5 * time.Second
		brittleTime = 10 * time.Second
	)
	tests := map[string]struct {
		instances, servers, dataCentres, rejections, room int
		// disturb disturbs the fleet while the servers are brittle.
		disturb func(f *brittleFleet)
		// used is the share of the room that must be used.
		used float64
	}{
		"one instance":                       {1, fewServers, 1, 3, 2, nil, minUsed},
		"three instances":                    {3, fewServers, 1, 3, 1, nil, minUsed},
		"18 instances":                       {18, fewServers, 3, 3, 2, nil, minUsed},
		"18 instances, one bearable":         {18, fewServers, 3, 1, 4, nil, minUsed},
		"300 instances":                      {300, fewServers, 6, 3, 2, nil, minUsed},
		"100 instances, many servers":        {100, 30, 4, 3, 2, nil, minUsed},
		"300 instances, room of all slots":   {300, fewServers, 6, 2, 8, nil, minUsed},
		"18 instances, coordinators die":     {18, fewServers, 3, 3, 4, (*brittleFleet).killCoordinators, 0.8},
		"18 instances, servers are replaced": {18, fewServers, 3, 3, 4, (*brittleFleet).replaceServers, 0.8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				f := newBrittleFleet(seed, test.instances, test.servers, test.dataCentres, test.rejections)
				perSecond := 2 * float64(test.servers*test.room) / callTime.Seconds()
				f.submit(perSecond, f.now.Add(before+brittleTime))
				f.runFor(before)
				f.room, f.sent, f.served = test.room, 0, 0
				if test.disturb != nil {
					f.after(brittleTime/2, func() { test.disturb(f) })
				}
				f.runFor(brittleTime)
				used := float64(f.served) / (float64(test.servers*test.room) * brittleTime.Seconds() / callTime.Seconds())
				t.Logf("seed %d: %d falls, %d of %d calls served, %.2f of the room used", seed, f.falls, f.served, f.sent, used)
				assert.Check(t, f.falls <= 2+test.servers/10, "seed %d: %d falls", seed, f.falls)
				assert.Check(t, used >= test.used, "seed %d: %.2f of the room used", seed, used)
			}
		})
	}
}

// killCoordinators kills the coordinators of two servers, if they have any.
func (f *brittleFleet) killCoordinators() {
	for n := range 2 {
		f.instances[n].isDead = true
	}
	f.after(detectTime, f.publishMembers)
}

// replaceServers replaces two servers by new ones.
func (f *brittleFleet) replaceServers() {
	for _, s := range f.servers[:2] {
		s.listed.Incarnation++
		for _, ended := range s.running {
			ended(lostAnswer)
		}
		clear(s.running)
	}
	f.publishServers()
}

// brittleScheduler returns the scheduler of an instance that is alone in its data centre, and
// that has heard that its upstream is brittle.
func brittleScheduler(u decide.Upstream) (*decide.Scheduler, []decide.Action) {
	s := decide.New("dc0")
	s.Step(epoch, decide.MembersChanged{Self: netip.MustParseAddrPort("10.0.0.1:80")})
	s.Step(epoch, decide.UpstreamsChanged{Upstreams: []decide.Upstream{u}})
	return s, s.Step(epoch, decide.BrittleReported{Upstream: u.Name, Incarnation: u.Incarnation, MaxRejections: 3})
}

func brittleNotices(actions []decide.Action) []decide.BrittleNotice {
	var notices []decide.BrittleNotice
	for _, a := range actions {
		if n, ok := a.(decide.NotifyBrittle); ok {
			notices = append(notices, n.Notice)
		}
	}
	return notices
}

func TestBrittleEnginesAreNotCoordinated(t *testing.T) {
	engine := decide.Upstream{Name: "e0", Pool: "llm", DataCentre: "dc0", Incarnation: 1, Slots: 8, CapacityTokens: 1000}
	s, actions := brittleScheduler(engine)
	notices := brittleNotices(actions)
	for n := range 20 {
		notices = append(notices, brittleNotices(s.Step(epoch.Add(time.Duration(n)*time.Second), decide.BrittleReported{Upstream: "e0", Incarnation: 1, MaxRejections: 3}))...)
	}
	assert.Equal(t, len(notices), 0, "%v", notices)
}

func TestInstanceThatStopsNoLongerCoordinates(t *testing.T) {
	server := decide.Upstream{Name: "u0", Pool: brittlePool, DataCentre: "dc0", Incarnation: 1, Slots: 8}
	s, actions := brittleScheduler(server)
	notices := brittleNotices(actions)
	assert.Equal(t, len(notices), 1)
	assert.DeepEqual(t, notices[0].Upstreams, []string{"u0"})
	s.Step(epoch.Add(time.Second), decide.MembersChanged{Others: []decide.Member{{Control: netip.MustParseAddrPort("10.0.0.2:80")}}})
	assert.Equal(t, len(brittleNotices(s.Step(epoch.Add(2*time.Second), decide.Tick{}))), 0)
	call := decide.Request{ID: ident.Request{Sequence: 1}, CanUseCoordinator: true, Class: config.Class{Name: "read", Pool: brittlePool, Kind: config.Read}}
	for _, a := range s.Step(epoch.Add(2*time.Second), decide.Arrived{Request: call}) {
		if place, ok := a.(decide.Place); ok {
			assert.Assert(t, !place.Coordinator.IsValid(), "sent to %v", place.Coordinator)
		}
	}
	// The next coordinator gets the calls.
	claim := decide.BrittleNotice{Pool: brittlePool, MaxRejections: 3, HeardAt: epoch.Add(2 * time.Second), Coordinator: netip.MustParseAddrPort("10.0.0.2:80"), Upstreams: []string{"u0"}}
	s.Step(epoch.Add(2*time.Second), decide.BrittleNoticeReceived{Notice: claim})
	call.ID.Sequence = 2
	s.Step(epoch.Add(2*time.Second), decide.Ended{ID: ident.Request{Sequence: 1}})
	for _, a := range s.Step(epoch.Add(2*time.Second), decide.Arrived{Request: call}) {
		if place, ok := a.(decide.Place); ok {
			assert.Equal(t, place.Coordinator, claim.Coordinator)
			return
		}
	}
	t.Error("the call was not placed")
}
