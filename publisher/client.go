package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/member"
	"mangoloft/settings"
)

// dialLimit bounds the making of a connection.
const dialLimit = 1 * time.Second

// answerMargin is how much longer than it was asked to hold it a service may
// take for an answer.
const answerMargin = 1 * time.Second

// maxIndexBytes bounds the index and the instance list.
const maxIndexBytes = 4 << 20

// What bounds an instance's reads of values. A change moves few; a newcomer
// that can't ask a peer reads them all, and a whole fleet may start at once: 32
// readers and 380 others then stay under half of the service's 2,000 a second.
const (
	readerPerSecond = 20
	readerBurst     = 10
	otherPerSecond  = 0.5
	otherBurst      = 2
)

type client struct {
	http *http.Client
	at   settings.Platform
	// readerLimit holds while the instance is a reader, otherLimit else.
	readerLimit, otherLimit *rate.Limiter
	// Each belongs to the one goroutine that asks for it.
	latestIndex cached[config.Index]
	latestList  cached[control.ListRead]
}

func newClient(s settings.Settings) *client {
	return &client{
		http:        &http.Client{Transport: &http.Transport{DialContext: s.Dialer(dialLimit).DialContext}},
		at:          s.Platform,
		readerLimit: rate.NewLimiter(readerPerSecond, readerBurst),
		otherLimit:  rate.NewLimiter(otherPerSecond, otherBurst),
	}
}

// cached is the latest answer to a question, with its entity tag: an answer
// that did not change need not travel again.
type cached[T any] struct {
	tag   string
	value T
}

// get asks a question and returns the answer's body, or nil when it still has
// the tag. It reads at most limit+1 bytes, so that the caller can tell an
// answer that is too long. Any other status than 200 is an error.
func (c *client) get(ctx context.Context, addr netip.AddrPort, path string, hold time.Duration, limit int, tag *string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+answerMargin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return nil, err
	}
	if *tag != "" {
		request.Header.Set("If-None-Match", *tag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNotModified && *tag != "":
		return nil, nil
	case response.StatusCode != http.StatusOK:
		return nil, errorx.ExternalError.New("%s: %s", path, response.Status)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	*tag = response.Header.Get("ETag")
	return content, err
}

// index waits for an index newer than the version, and returns the service's
// latest when none comes in time.
func (c *client) index(ctx context.Context, after uint64, hold time.Duration) (config.Index, error) {
	tag := c.latestIndex.tag
	path := fmt.Sprintf("/index?after=%d&wait_ms=%d", after, hold.Milliseconds())
	content, err := c.get(ctx, c.at.Configuration, path, hold, maxIndexBytes, &tag)
	if err != nil || content == nil {
		return c.latestIndex.value, err
	}
	if len(content) > maxIndexBytes {
		return config.Index{}, errorx.ExternalError.New("the index has more than %d bytes", maxIndexBytes)
	}
	var index config.Index
	if err := json.Unmarshal(content, &index); err != nil {
		return config.Index{}, errorx.Decorate(err, "index")
	}
	c.latestIndex = cached[config.Index]{tag, index}
	return index, nil
}

// errOutOfDate says that a value changed while the index was read. The next
// index fits.
var errOutOfDate = errorx.ExternalError.New("the index is out of date")

// values reads the values of the index that have lacks, and returns the whole
// document.
func (c *client) values(ctx context.Context, index config.Index, have config.Document, limit *rate.Limiter) (config.Document, error) {
	values := maps.Clone(have.Values)
	if values == nil {
		values = map[string][]byte{}
	}
	maps.DeleteFunc(values, func(key string, _ []byte) bool { _, listed := index.Values[key]; return !listed })
	for _, key := range index.Missing(have.Values, have.Index) {
		if err := limit.Wait(ctx); err != nil {
			return config.Document{}, err
		}
		value, err := c.get(ctx, c.at.Configuration, "/values/"+url.PathEscape(key), 0, config.MaxValueBytes, new(string))
		if err != nil {
			return config.Document{}, err
		}
		// A value over the limit is refused by its size, whatever its hash.
		if len(value) <= config.MaxValueBytes && config.Hash(value) != index.Values[key].SHA256 {
			return config.Document{}, errOutOfDate
		}
		values[key] = value
	}
	return config.Document{Index: index, Values: values}, nil
}

// listWire is the instance list.
type listWire struct {
	Entries   []entryWire    `json:"entries"`
	Upstreams []upstreamWire `json:"upstreams"`
}

type entryWire struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Peer       netip.AddrPort `json:"peer"`
	Leaving    bool           `json:"leaving"`
}

type upstreamWire struct {
	Name        string         `json:"name"`
	Pool        string         `json:"pool"`
	DataCentre  string         `json:"data_centre"`
	Addr        netip.AddrPort `json:"addr"`
	Incarnation string         `json:"incarnation"`
	Leaving     bool           `json:"leaving"`
}

// readList returns the instance list as it is now.
func (c *client) readList(ctx context.Context) (control.ListRead, error) {
	askedAt, tag := time.Now(), c.latestList.tag
	content, err := c.get(ctx, c.at.InstanceList, "/instances", 0, maxIndexBytes, &tag)
	if err != nil {
		return control.ListRead{}, err
	}
	if content != nil {
		list, err := parseList(content)
		if err != nil {
			return control.ListRead{}, err
		}
		c.latestList = cached[control.ListRead]{tag, list}
	}
	list := c.latestList.value
	list.Source, list.ReadAt, list.AskedAt = "instance_list", askedAt, askedAt
	return list, nil
}

func parseList(content []byte) (control.ListRead, error) {
	if len(content) > maxIndexBytes {
		return control.ListRead{}, errorx.ExternalError.New("the instance list has more than %d bytes", maxIndexBytes)
	}
	var wire listWire
	if err := json.Unmarshal(content, &wire); err != nil {
		return control.ListRead{}, errorx.Decorate(err, "instance list")
	}
	entries := make([]member.ListedInstance, len(wire.Entries))
	for i, entry := range wire.Entries {
		entries[i] = member.ListedInstance(entry)
	}
	upstreams := make([]decide.Upstream, len(wire.Upstreams))
	for i, u := range wire.Upstreams {
		incarnation, err := ident.ParseIncarnation(u.Incarnation)
		if err != nil {
			return control.ListRead{}, errorx.Decorate(err, "instance list: %s", u.Name)
		}
		upstreams[i] = decide.Upstream{
			Name: u.Name, Pool: u.Pool, DataCentre: u.DataCentre, Addr: u.Addr, Incarnation: incarnation, Leaving: u.Leaving,
		}
	}
	return control.ListRead{Entries: entries, Upstreams: upstreams}, nil
}
