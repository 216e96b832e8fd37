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

// dialTimeout bounds connecting to a service.
const dialTimeout = 1 * time.Second

// answerMargin is added to the wait time of a long poll to get the timeout of the
// request.
const answerMargin = 1 * time.Second

// maxAnswerBytes bounds the index and the instance list.
const maxAnswerBytes = 4 << 20

// Rate limits for reading values. A configuration change affects few values, but a
// new instance that can't get them from a peer reads all, and a whole fleet may
// start at once: with these limits, 32 readers and 380 other instances use less
// than half of the 2,000 reads a second that the service allows.
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
	// readerLimit applies while the instance is a reader, otherLimit otherwise.
	readerLimit, otherLimit *rate.Limiter
	// latestIndex and latestList are each used by one goroutine only.
	latestIndex cached[config.Index]
	latestList  cached[control.ListRead]
}

func newClient(s settings.Settings) *client {
	return &client{
		http:        &http.Client{Transport: &http.Transport{DialContext: s.Dialer(dialTimeout).DialContext}},
		platform:    s.Platform,
		readerLimit: rate.NewLimiter(readerReadsPerSecond, readerBurst),
		otherLimit:  rate.NewLimiter(otherReadsPerSecond, otherBurst),
	}
}

// cached is the latest answer to a request with its entity tag, so that an
// unchanged answer need not be sent again.
type cached[T any] struct {
	tag   string
	value T
}

// get returns the body of an answer and updates the entity tag. If the answer still
// has the tag, it returns nil. It reads at most limit+1 bytes, so that the caller can
// detect an answer that is too long. wait is how long the service may hold the
// request. Any status other than 200 and 304 is an error.
func (c *client) get(ctx context.Context, addr netip.AddrPort, path string, wait time.Duration, limit int, tag *string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
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

// index waits for an index newer than the version after. It returns the service's
// latest one if there is none within the wait time.
func (c *client) index(ctx context.Context, after uint64, wait time.Duration) (config.Index, error) {
	tag := c.latestIndex.tag
	path := fmt.Sprintf("/index?after=%d&wait_ms=%d", after, wait.Milliseconds())
	content, err := c.get(ctx, c.platform.Configuration, path, wait, maxAnswerBytes, &tag)
	if err != nil || content == nil {
		return c.latestIndex.value, err
	}
	if len(content) > maxAnswerBytes {
		return config.Index{}, errorx.ExternalError.New("the index is larger than %d bytes", maxAnswerBytes)
	}
	var index config.Index
	if err := json.Unmarshal(content, &index); err != nil {
		return config.Index{}, errorx.Decorate(err, "decode the index")
	}
	c.latestIndex = cached[config.Index]{tag, index}
	return index, nil
}

// errIndexOutdated means that a value changed after the index was read. A newer
// index has the hash of the new value.
var errIndexOutdated = errorx.ExternalError.New("the index is out of date")

// values reads the values of the index that are missing or different in have, and
// returns the complete document.
func (c *client) values(ctx context.Context, index config.Index, have config.Document, limit *rate.Limiter) (config.Document, error) {
	values := maps.Clone(have.Values)
	if values == nil {
		values = map[string][]byte{}
	}
	maps.DeleteFunc(values, func(key string, _ []byte) bool { _, listed := index.Values[key]; return !listed })
	for _, key := range index.ChangedKeys(have.Values, have.Index) {
		if err := limit.Wait(ctx); err != nil {
			return config.Document{}, err
		}
		value, err := c.get(ctx, c.platform.Configuration, "/values/"+url.PathEscape(key), 0, config.MaxValueBytes, new(string))
		if err != nil {
			return config.Document{}, err
		}
		// The hash of a value over the limit is not checked: the document is refused
		// for the size.
		if len(value) <= config.MaxValueBytes && config.Hash(value) != index.Values[key].SHA256 {
			return config.Document{}, errIndexOutdated
		}
		values[key] = value
	}
	return config.Document{Index: index, Values: values}, nil
}

// listWire is the answer with the instance list.
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
	content, err := c.get(ctx, c.platform.InstanceList, "/instances", 0, maxAnswerBytes, &tag)
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
	if len(content) > maxAnswerBytes {
		return control.ListRead{}, errorx.ExternalError.New("the instance list is larger than %d bytes", maxAnswerBytes)
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
