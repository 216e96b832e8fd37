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
	"mangoloft/http1"
	"mangoloft/ident"
	"mangoloft/member"
	"mangoloft/settings"
)

// dialTimeout is the timeout for connecting to a service.
const dialTimeout = 1 * time.Second

// responseMargin is added to the wait time of a long poll to get the timeout of the
// request.
const responseMargin = 1 * time.Second

// maxResponseBytes is the maximum size of the index and of the instance list.
const maxResponseBytes = 4 << 20

// Rate limits for reading values. A configuration change affects few values, but a
// new instance that can't fetch them from a peer reads all of them, and a whole fleet
// can start simultaneously. With these limits, 32 readers and 380 other instances use
// less than half of the 2,000 reads a second that the service allows.
const (
	readerReadsPerSecond = 20
	readerBurst          = 10
	otherReadsPerSecond  = 0.5
	otherBurst           = 2
)

// client reads from the services of the platform.
type client struct {
	http     *http.Client
	platform settings.Platform
	// readerLimit applies while the instance is a reader, and otherLimit otherwise.
	readerLimit, otherLimit *rate.Limiter
	// latestIndex and latestList are each used by one goroutine only.
	latestIndex cached[config.Index]
	latestList  cached[control.ListRead]
}

func newClient(s settings.Settings) *client {
	return &client{
		http:        &http.Client{Transport: http1.Transport{Base: &http.Transport{DialContext: s.Dialer(dialTimeout).DialContext}}},
		platform:    s.Platform,
		readerLimit: rate.NewLimiter(readerReadsPerSecond, readerBurst),
		otherLimit:  rate.NewLimiter(otherReadsPerSecond, otherBurst),
	}
}

// cached is the content of the latest response and its entity tag, with which the
// service doesn't send unchanged content again.
type cached[T any] struct {
	tag   string
	value T
}

// get returns the body of the response and updates the entity tag. It returns nil
// if the content still has the entity tag. It reads at most maxBytes+1 bytes, so
// that the caller can detect a response that is too long. wait is the time for
// which the service can hold the request. Any status other than 200 and 304 is an
// error.
func (c *client) get(ctx context.Context, addr netip.AddrPort, path string, wait time.Duration, maxBytes int, tag *string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
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
		return nil, errorx.ExternalError.New("%s: response status %s", path, response.Status)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, int64(maxBytes)+1))
	*tag = response.Header.Get("ETag")
	return content, err
}

// index waits for an index with a version greater than after. If there is none within
// the wait time, it returns the service's latest one.
func (c *client) index(ctx context.Context, after uint64, wait time.Duration) (config.Index, error) {
	tag := c.latestIndex.tag
	path := fmt.Sprintf("/index?after=%d&wait_ms=%d", after, wait.Milliseconds())
	content, err := c.get(ctx, c.platform.Configuration, path, wait, maxResponseBytes, &tag)
	if err != nil || content == nil {
		return c.latestIndex.value, err
	}
	if len(content) > maxResponseBytes {
		return config.Index{}, errorx.ExternalError.New("the index is larger than %d bytes", maxResponseBytes)
	}
	var index config.Index
	if err := json.Unmarshal(content, &index); err != nil {
		return config.Index{}, errorx.Decorate(err, "decode the index")
	}
	c.latestIndex = cached[config.Index]{tag, index}
	return index, nil
}

// errIndexOutdated means that a value changed after the index was read, so that
// only a newer index contains the hash of the value.
var errIndexOutdated = errorx.ExternalError.New("the index is out of date")

// values reads the values of the index that are missing from current or differ
// from it, and returns the complete document.
func (c *client) values(ctx context.Context, index config.Index, current config.Document, limit *rate.Limiter) (config.Document, error) {
	values := maps.Clone(current.Values)
	if values == nil {
		values = map[string][]byte{}
	}
	maps.DeleteFunc(values, func(key string, _ []byte) bool { _, listed := index.Values[key]; return !listed })
	for _, key := range index.ChangedKeys(current.Values, current.Index) {
		if err := limit.Wait(ctx); err != nil {
			return config.Document{}, err
		}
		value, err := c.get(ctx, c.platform.Configuration, "/values/"+url.PathEscape(key), 0, config.MaxValueBytes, new(string))
		if err != nil {
			return config.Document{}, err
		}
		// The hash of a value that is too long is not checked: the document is
		// refused later because of the size.
		if len(value) <= config.MaxValueBytes && config.Hash(value) != index.Values[key].SHA256 {
			return config.Document{}, errIndexOutdated
		}
		values[key] = value
	}
	return config.Document{Index: index, Values: values}, nil
}

// listWire is the body of the response with the instance list.
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

// readList returns the current instance list.
func (c *client) readList(ctx context.Context) (control.ListRead, error) {
	requestedAt, tag := time.Now(), c.latestList.tag
	content, err := c.get(ctx, c.platform.InstanceList, "/instances", 0, maxResponseBytes, &tag)
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
	list.Source, list.ReadAt, list.RequestedAt = "instance_list", requestedAt, requestedAt
	return list, nil
}

func parseList(content []byte) (control.ListRead, error) {
	if len(content) > maxResponseBytes {
		return control.ListRead{}, errorx.ExternalError.New("the instance list is larger than %d bytes", maxResponseBytes)
	}
	var wire listWire
	if err := json.Unmarshal(content, &wire); err != nil {
		return control.ListRead{}, errorx.Decorate(err, "decode the instance list")
	}
	entries := make([]member.ListedInstance, len(wire.Entries))
	for i, entry := range wire.Entries {
		entries[i] = member.ListedInstance(entry)
	}
	upstreams := make([]decide.Upstream, len(wire.Upstreams))
	for i, u := range wire.Upstreams {
		incarnation, err := ident.ParseIncarnation(u.Incarnation)
		if err != nil {
			return control.ListRead{}, errorx.Decorate(err, "instance list: upstream %s", u.Name)
		}
		upstreams[i] = decide.Upstream{
			Name: u.Name, Pool: u.Pool, DataCentre: u.DataCentre, Addr: u.Addr, Incarnation: incarnation, Leaving: u.Leaving,
		}
	}
	return control.ListRead{Entries: entries, Upstreams: upstreams}, nil
}
