package bench

import (
	"bytes"
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

	"mangoloft/config"
)

// entryWire and upstreamWire are items of the instance list's JSON.
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

type listWire struct {
	Entries   []entryWire    `json:"entries"`
	Upstreams []upstreamWire `json:"upstreams"`
}

// PublishList publishes the fleet's entry instances and upstreams in the
// instance list.
func (f *Fleet) PublishList(ctx context.Context) error {
	var list listWire
	for _, p := range f.Entries {
		list.Entries = append(list.Entries, entryWire{Name: p.Name, DataCentre: p.DataCentre, Peer: p.PeerAddr})
	}
	for pool, processes := range map[string][]*Process{"drafting": f.Engines, "shop": f.Services} {
		for _, p := range processes {
			list.Upstreams = append(list.Upstreams, upstreamWire{
				Name: p.Name, Pool: pool, DataCentre: p.DataCentre, Addr: p.Addr, Incarnation: p.Incarnation.String(), Leaving: p.leaving,
			})
		}
	}
	content, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return f.put(ctx, f.InstanceList.DirectAddr, "/instances", content)
}

func (f *Fleet) publishInitialState(ctx context.Context) error {
	values := map[string]string{
		"pools/drafting":           `{"checks_fencing": true}`,
		"pools/shop":               `{}`,
		"classes/" + DraftClass:    `{"kind": "stream", "pool": "drafting", "model": "tuning-large", "target": {"wait_ms": 2000, "pace_ms": 40}}`,
		"classes/" + ReadClass:     `{"kind": "read", "pool": "shop", "target": {"wait_ms": 300}}`,
		"classes/" + PurchaseClass: `{"kind": "charge", "pool": "shop", "target": {"wait_ms": 1000}}`,
		"teams/00":                 fmt.Sprintf(`{"teams": [{"name": %q, "credential_sha256": %q}]}`, Team, config.Hash([]byte(Credential))),
	}
	maps.Copy(values, f.plan.Config)
	for key, value := range values {
		if err := f.PutConfig(ctx, key, value); err != nil {
			return err
		}
	}
	return f.PublishList(ctx)
}

// PutConfig publishes one configuration value.
func (f *Fleet) PutConfig(ctx context.Context, key, value string) error {
	_, err := f.send(ctx, http.MethodPut, f.ConfigService.DirectAddr, "/values/"+url.PathEscape(key), []byte(value))
	return err
}

func (f *Fleet) put(ctx context.Context, addr netip.AddrPort, path string, content []byte) error {
	_, err := f.send(ctx, http.MethodPut, addr, path, content)
	return err
}

// send sends a request to a stand-in, with retries until it succeeds or
// readyTimeout has passed, because the stand-in may still be starting.
func (f *Fleet) send(ctx context.Context, method string, addr netip.AddrPort, path string, content []byte) ([]byte, error) {
	deadline := time.Now().Add(readyTimeout)
	for {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(content))
		if err != nil {
			return nil, err
		}
		response, err := f.http.Do(request)
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode/100 == 2 {
				return body, nil
			}
			err = errorx.ExternalError.New("%s: %s", path, response.Status)
		}
		if time.Now().After(deadline) {
			return nil, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
