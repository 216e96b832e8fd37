package gossip

import (
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/history"
	"mangoloft/ident"
	"mangoloft/origin"
	"mangoloft/upstream"
)

// datagramWire is one datagram between instances. Times are sent as the time
// left, because the clocks of instances may differ.
type datagramWire struct {
	From         netip.AddrPort `json:"from"`
	Name         string         `json:"name"`
	DataCentre   string         `json:"data_centre"`
	Control      netip.AddrPort `json:"control"`
	Incarnation  uint64         `json:"incarnation,string"`
	TableVersion uint64         `json:"table_version"`
	// ListEra and ListRevision are the position of the sender's list.
	ListEra      uint64 `json:"list_era,omitempty"`
	ListRevision uint64 `json:"list_revision"`
	StoreLost    bool   `json:"store_lost,omitempty"`
	// HeartbeatMS is the time in milliseconds after which the sender sends its next
	// datagram at the latest.
	HeartbeatMS int64 `json:"heartbeat_ms,omitempty"`
	// ReadsStore reports that the sender reads the list, and ListCurrent that an
	// instance of its data centre does.
	ReadsStore  bool `json:"reads_store,omitempty"`
	ListCurrent bool `json:"list_current,omitempty"`
	Stopping    bool `json:"stopping,omitempty"`
	// LostPools are the pools from which the sender is cut off.
	LostPools []string `json:"lost_pools,omitempty"`
	// LocalCount is the number of live instances in the sender's data centre, and
	// Relays are the addresses of its relays.
	LocalCount int              `json:"local_count,omitempty"`
	Relays     []netip.AddrPort `json:"relays,omitempty"`
	// DataCentres contains other data centres, by name.
	DataCentres map[string]dataCentreWire `json:"data_centres,omitempty"`
	// Forward is the data centre to which the content is forwarded, or
	// allDataCentres. A relay of the sender's data centre sends it to the relays
	// there, and they send it to their data centres.
	Forward string `json:"forward,omitempty"`
	// Known contains the addresses of some live members by data centre.
	Known    map[string][]netip.AddrPort `json:"known,omitempty"`
	Notices  []noticeWire                `json:"notices,omitempty"`
	Leaving  []leavingWire               `json:"leaving,omitempty"`
	Limits   []limitWire                 `json:"limits,omitempty"`
	Brittle  []brittleWire               `json:"brittle,omitempty"`
	Crashes  []crashWire                 `json:"crashes,omitempty"`
	Findings []findingWire               `json:"findings,omitempty"`
	List     *listWire                   `json:"list,omitempty"`
	Orders   *ordersWire                 `json:"orders,omitempty"`
	// Loads contains the loads of the engines of a data centre.
	Loads []loadsWire `json:"loads,omitempty"`
}

// dataCentreWire is another data centre than the sender's.
type dataCentreWire struct {
	LocalCount  int              `json:"local_count"`
	Relays      []netip.AddrPort `json:"relays,omitempty"`
	ListCurrent bool             `json:"list_current,omitempty"`
}

// listWire contains the changes of the list of upstreams after a revision, up to
// another one of the same era.
type listWire struct {
	Era      uint64     `json:"era,omitempty"`
	After    uint64     `json:"after"`
	Revision uint64     `json:"revision"`
	Items    []itemWire `json:"items"`
}

// loadsWire contains the loads of engines of one data centre, as tracked by its
// instances. The fields have one element for each engine.
type loadsWire struct {
	Upstreams      []string `json:"upstreams"`
	Running        []int    `json:"running"`
	UsedTokens     []int    `json:"used_tokens"`
	PendingPrefill []int    `json:"pending_prefill"`
	// FactorPercent is how long work takes, relative to the mean of the engine's service;
	// omitted if it is 100 for all. Older builds omit it.
	FactorPercent []int `json:"factor_percent,omitempty"`
}

func encodeLoads(loads []decide.Load) loadsWire {
	var w loadsWire
	for _, load := range loads {
		w.Upstreams, w.Running = append(w.Upstreams, load.Upstream), append(w.Running, load.Running)
		w.UsedTokens, w.PendingPrefill = append(w.UsedTokens, load.UsedTokens), append(w.PendingPrefill, load.PendingPrefillTokens)
		percent := int(math.Round(100 * load.Factor))
		if percent <= 0 {
			percent = 100 // Not known.
		}
		w.FactorPercent = append(w.FactorPercent, percent)
	}
	if !slices.ContainsFunc(w.FactorPercent, func(percent int) bool { return percent != 100 }) {
		w.FactorPercent = nil
	}
	return w
}

// noticeWire is a notice that a request is waiting, was placed on an upstream,
// has progressed or has ended.
type noticeWire struct {
	Kind         decide.NoticeKind `json:"kind"`
	ID           string            `json:"id"`
	Team         string            `json:"team,omitempty"`
	Class        string            `json:"class,omitempty"`
	Pool         string            `json:"pool,omitempty"`
	PromptTokens int               `json:"prompt_tokens,omitempty"`
	MaxOutput    int               `json:"max_output,omitempty"`
	// Rank is the rank of the request, in notices that it waits or was placed.
	Rank int `json:"rank,omitempty"`
	// StartInMS is the time left until the request should start, and WaitMS the
	// wait target of its class, in milliseconds; WaitMS is 0 if there is no
	// wait target.
	StartInMS int64 `json:"start_in_ms,omitempty"`
	// FirstInMS is the time left until the first token is due, in milliseconds.
	FirstInMS int64  `json:"first_in_ms,omitempty"`
	WaitMS    int64  `json:"wait_ms,omitempty"`
	Upstream  string `json:"upstream,omitempty"`
	Tokens    int    `json:"tokens,omitempty"`
	Completed bool   `json:"completed,omitempty"`
	// Failed reports that the upstream failed the request, and Remote that the sender is in
	// another data centre than the upstream.
	Failed bool `json:"failed,omitempty"`
	Remote bool `json:"remote,omitempty"`
	// PauseTargetMS is the target for the longest pause of a placed stream.
	PauseTargetMS int64 `json:"pause_target_ms,omitempty"`
	// TokenUS is the time for a token in microseconds and PauseMS the longest pause in
	// milliseconds, since the stream's previous notice of progress; 0 if not measured.
	TokenUS int64 `json:"token_us,omitempty"`
	PauseMS int64 `json:"pause_ms,omitempty"`
	// Began is the key of the stream that has begun on the upstream.
	Began string `json:"began,omitempty"`
	// Version is the version of the engine's software, with Began.
	Version string `json:"version,omitempty"`
}

// leavingWire announces that an upstream is leaving. StartUnixMS is the start
// time of its process, which identifies the incarnation.
type leavingWire struct {
	ID          string `json:"id"`
	StartUnixMS int64  `json:"born"`
	// LeavesInMS is the time left until it leaves, in milliseconds; 0 if
	// unknown.
	LeavesInMS int64 `json:"leaves_in_ms,omitempty"`
}

// limitWire tells of the limit that an upstream declared, and of the requests sent there
// since the sender's previous notice. StartUnixMS identifies the incarnation.
type limitWire struct {
	ID          string `json:"id"`
	StartUnixMS uint64 `json:"born"`
	Limited     bool   `json:"limited,omitempty"`
	// PerSecond is the limit in requests per second.
	PerSecond float64 `json:"per_second,omitempty"`
	// HeardAgoMS is the time in milliseconds since the upstream declared it.
	HeardAgoMS int64 `json:"heard_ago_ms"`
	Sent       int   `json:"sent,omitempty"`
	// DataCentre is that of the instance that sent the requests, for cold upstreams.
	DataCentre string `json:"data_centre,omitempty"`
	// ColdKnown reports whether the upstream has declared until when it is cold, ColdInMS is
	// the time in milliseconds until then, and ColdAgoMS the time since it declared it.
	ColdInMS  int64 `json:"cold_in_ms,omitempty"`
	ColdAgoMS int64 `json:"cold_ago_ms,omitempty"`
	ColdKnown bool  `json:"cold_known,omitempty"`
}

func encodeLimit(now time.Time, n decide.LimitNotice) limitWire {
	w := limitWire{
		ID: n.Upstream, StartUnixMS: uint64(n.Incarnation), Limited: n.Limited, PerSecond: n.PerSecond, Sent: n.Sent, DataCentre: n.DataCentre,
		// An upstream that is only cold has declared no limit. Older builds refuse a notice
		// without a time.
		HeardAgoMS: min(now.Sub(n.HeardAt), maxLimitAge).Milliseconds(),
	}
	if !n.ColdHeardAt.IsZero() {
		w.ColdKnown, w.ColdInMS, w.ColdAgoMS = true, max(0, n.ColdUntil.Sub(now)).Milliseconds(), max(0, now.Sub(n.ColdHeardAt)).Milliseconds()
	}
	return w
}

func decodeLimit(now time.Time, w limitWire) (decide.LimitNotice, error) {
	if w.PerSecond < 0 || w.Sent < 0 || w.HeardAgoMS < 0 || w.HeardAgoMS > maxLimitAge.Milliseconds() {
		return decide.LimitNotice{}, errorx.IllegalFormat.New("a value in the limit of %q is out of range", w.ID)
	}
	n := decide.LimitNotice{
		Upstream: w.ID, Incarnation: ident.Incarnation(w.StartUnixMS), Limited: w.Limited, PerSecond: w.PerSecond,
		HeardAt: now.Add(-milliseconds(w.HeardAgoMS)), Sent: w.Sent, DataCentre: w.DataCentre,
	}
	// A cold time that is not plausible must not discard the number of sent requests.
	if w.ColdKnown && w.ColdInMS >= 0 && w.ColdInMS <= maxColdTime.Milliseconds() && w.ColdAgoMS >= 0 && w.ColdAgoMS <= maxLimitAge.Milliseconds() {
		n.ColdUntil, n.ColdHeardAt = now.Add(milliseconds(w.ColdInMS)), now.Add(-milliseconds(w.ColdAgoMS))
	}
	return n, nil
}

// brittleWire tells that the upstreams of a pool are brittle, and which of them the sender
// coordinates.
type brittleWire struct {
	Pool string `json:"pool"`
	// MaxRejections is the number of requests that an upstream can reject in a second.
	MaxRejections int `json:"max_rejections"`
	// HeardAgoMS is the time in milliseconds since an upstream declared it.
	HeardAgoMS int64 `json:"heard_ago_ms"`
	// Coordinator is the control address of the sender.
	Coordinator netip.AddrPort `json:"coordinator,omitzero"`
	Upstreams   []string       `json:"upstreams,omitempty"`
}

func encodeBrittle(now time.Time, n decide.BrittleNotice) brittleWire {
	return brittleWire{n.Pool, n.MaxRejections, max(0, now.Sub(n.HeardAt).Milliseconds()), n.Coordinator, n.Upstreams}
}

func decodeBrittle(now time.Time, w brittleWire) (decide.BrittleNotice, error) {
	if w.Pool == "" || w.MaxRejections < 1 || w.HeardAgoMS < 0 || w.HeardAgoMS > maxBrittleAge.Milliseconds() || len(w.Upstreams) > maxClaims {
		return decide.BrittleNotice{}, errorx.IllegalFormat.New("a value for the brittle pool %q is out of range", w.Pool)
	}
	return decide.BrittleNotice{
		Pool: w.Pool, MaxRejections: w.MaxRejections, HeardAt: now.Add(-milliseconds(w.HeardAgoMS)), Coordinator: w.Coordinator, Upstreams: w.Upstreams,
	}, nil
}

// maxPause is the longest plausible pause of a stream and target for it.
const maxPause = time.Hour

// maxTokens is the maximum plausible number of tokens of a prompt or an output.
const maxTokens = 1 << 24

func encodeNotice(now time.Time, n decide.Notice) noticeWire {
	w := noticeWire{
		Kind: n.Kind, ID: n.Request.ID.String(), Team: n.Request.Team, Class: n.Request.Class.Name, Pool: n.Request.Class.Pool,
		PromptTokens: n.Request.PromptTokens, MaxOutput: n.Request.MaxOutputTokens, Rank: n.Request.Rank, Upstream: n.Upstream, Tokens: n.Tokens, Completed: n.Completed,
		Failed: n.Failed, Remote: n.Remote,
		PauseTargetMS: min(maxPause, n.Request.PauseTarget).Milliseconds(), TokenUS: min(maxPause, n.Pace.PerToken).Microseconds(), PauseMS: min(maxPause, n.Pace.LongestPause).Milliseconds(),
	}
	if n.Began != 0 {
		w.Began, w.Version = n.Began.String(), n.Version
	}
	if !n.Request.StartBy.IsZero() {
		w.StartInMS, w.WaitMS = n.Request.StartBy.Sub(now).Milliseconds(), n.Request.Class.WaitTarget.Milliseconds()
	}
	if !n.Request.FirstTokenBy.IsZero() {
		w.FirstInMS = n.Request.FirstTokenBy.Sub(now).Milliseconds()
	}
	return w
}

func decodeNotice(now time.Time, w noticeWire) (decide.Notice, error) {
	id, err := ident.ParseRequest(w.ID)
	if err != nil {
		return decide.Notice{}, err
	}
	if w.Rank < 0 || w.Rank > decide.MaxRank {
		return decide.Notice{}, errorx.IllegalFormat.New("the rank %d of request %q is out of range", w.Rank, w.ID)
	}
	r := decide.Request{ID: id, Team: w.Team, Rank: w.Rank, PromptTokens: w.PromptTokens, MaxOutputTokens: w.MaxOutput}
	r.Class = config.Class{Name: w.Class, Pool: w.Pool, Kind: config.Stream, WaitTarget: time.Duration(w.WaitMS) * time.Millisecond}
	if w.WaitMS != 0 {
		r.StartBy = now.Add(time.Duration(w.StartInMS) * time.Millisecond)
	}
	if w.FirstInMS != 0 {
		r.FirstTokenBy = now.Add(time.Duration(w.FirstInMS) * time.Millisecond)
	}
	if w.Tokens < 0 || w.Tokens > maxTokens || w.PromptTokens < 0 || w.PromptTokens > maxTokens {
		return decide.Notice{}, errorx.IllegalFormat.New("the size of stream %q is out of range", w.ID)
	}
	if w.PauseTargetMS < 0 || w.PauseTargetMS > maxPause.Milliseconds() || w.PauseMS < 0 || w.PauseMS > maxPause.Milliseconds() || w.TokenUS < 0 || w.TokenUS > maxPause.Microseconds() {
		return decide.Notice{}, errorx.IllegalFormat.New("the pace of stream %q is out of range", w.ID)
	}
	r.PauseTarget = milliseconds(w.PauseTargetMS)
	n := decide.Notice{Kind: w.Kind, Request: r, Upstream: w.Upstream, Tokens: w.Tokens, Completed: w.Completed, Failed: w.Failed, Remote: w.Remote}
	n.Pace = decide.Pace{PerToken: time.Duration(w.TokenUS) * time.Microsecond, LongestPause: milliseconds(w.PauseMS)}
	if w.Began != "" {
		if n.Began, err = origin.ParseKey(w.Began); err != nil {
			return decide.Notice{}, err
		}
		n.Version = w.Version
	}
	return n, nil
}

// stateWire is the response to an instance that pulls newer state.
type stateWire struct {
	// Table contains the routing table as it was published.
	Table json.RawMessage `json:"table,omitempty"`
	// ListEra and ListRevision are the position of Items; 0 if the list is not newer.
	ListEra      uint64     `json:"list_era,omitempty"`
	ListRevision uint64     `json:"list_revision"`
	Items        []itemWire `json:"items,omitempty"`
	// Orders are sent in every response, if there ever were any.
	Orders *ordersWire `json:"orders,omitempty"`
}

// itemWire is one entry of the list of upstreams.
type itemWire struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	// Entry contains the entry as it was published; it is empty for a deleted
	// entry.
	Entry   []byte `json:"entry,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// listPosition returns the position of the sender's list.
func (w datagramWire) listPosition() history.Position {
	return history.Position{Era: w.ListEra, Revision: w.ListRevision}
}

// position returns the position up to which the changes are complete.
func (w listWire) position() history.Position {
	return history.Position{Era: w.Era, Revision: w.Revision}
}

// listPosition returns the position of the items.
func (w stateWire) listPosition() history.Position {
	return history.Position{Era: w.ListEra, Revision: w.ListRevision}
}

func encodeItems(items []upstream.Item) []itemWire {
	wire := make([]itemWire, len(items))
	for i, item := range items {
		wire[i] = itemWire{item.ID, item.Revision, item.Raw, item.Deleted}
	}
	return wire
}
