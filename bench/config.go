package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/event"
	"mangoloft/ident"
)

// ConfigChange is a configuration that an incarnation of an entry instance
// activated, as recorded in its audit trail.
type ConfigChange struct {
	Incarnation ident.Incarnation
	Version     uint64
	Digest      string
	// Changed and Removed are keys.
	Changed []string
	Removed []string
	// Source is "configuration_service" or the peer that sent the configuration.
	Source string
	// SeenAt is the time at which the instance received the version's number.
	SeenAt   time.Time
	ActiveAt time.Time
}

// changeWire contains the fields of a line of an audit trail that are used here.
type changeWire struct {
	Event       event.ID          `json:"event"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Record      struct {
		Version  uint64    `json:"version"`
		Digest   string    `json:"digest"`
		Changed  []string  `json:"changed"`
		Removed  []string  `json:"removed"`
		Source   string    `json:"source"`
		SeenAt   time.Time `json:"seen_at"`
		ActiveAt time.Time `json:"in_force_at"`
	} `json:"record"`
}

// maxTrailLineBytes is the maximum length of a line of an audit trail.
const maxTrailLineBytes = 1 << 20

// ConfigChanges reads the configuration changes from an entry instance's audit
// trail, in their order. All incarnations write to the same trail.
func (f *Fleet) ConfigChanges(p *Process) ([]ConfigChange, error) {
	file, err := os.Open(filepath.Join(f.plan.Dir, p.Name+".trail"))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxTrailLineBytes)
	var changes []ConfigChange
	for lines.Scan() {
		var wire changeWire
		// A killed process can leave a truncated line, and records of other events
		// have other fields.
		if json.Unmarshal(lines.Bytes(), &wire) != nil || wire.Event != event.ConfigAccepted {
			continue
		}
		r := wire.Record
		changes = append(changes, ConfigChange{wire.Incarnation, r.Version, r.Digest, r.Changed, r.Removed, r.Source, r.SeenAt, r.ActiveAt})
	}
	return changes, lines.Err()
}

// CheckNoRevert returns an error if two consecutive changes of an incarnation are
// not in ascending order of version and, for the same version, of digest.
func CheckNoRevert(changes []ConfigChange) error {
	for i, change := range changes[min(1, len(changes)):] {
		previous := changes[i]
		if previous.Incarnation != change.Incarnation {
			continue
		}
		if change.Version < previous.Version || change.Version == previous.Version && change.Digest <= previous.Digest {
			return errorx.AssertionFailed.New("incarnation %s went from version %d %s back to %d %s",
				change.Incarnation, previous.Version, previous.Digest, change.Version, change.Digest)
		}
	}
	return nil
}

// ChangeConfig publishes one value and returns the first version that contains it.
func (f *Fleet) ChangeConfig(ctx context.Context, key, value string) (uint64, error) {
	return f.decodeVersion(f.send(ctx, http.MethodPut, f.ConfigService.DirectAddr, "/values/"+url.PathEscape(key), []byte(value)))
}

// RemoveConfig removes one value and returns the first version without it.
func (f *Fleet) RemoveConfig(ctx context.Context, key string) (uint64, error) {
	return f.decodeVersion(f.send(ctx, http.MethodDelete, f.ConfigService.DirectAddr, "/values/"+url.PathEscape(key), nil))
}

func (f *Fleet) decodeVersion(answer []byte, err error) (uint64, error) {
	if err != nil {
		return 0, err
	}
	var wire struct {
		Version uint64 `json:"version"`
	}
	return wire.Version, json.Unmarshal(answer, &wire)
}

// SetConfigStale makes the configuration service serve its current version instead
// of any later one, or, if stale is false, the latest version again.
func (f *Fleet) SetConfigStale(ctx context.Context, stale bool) error {
	return f.put(ctx, f.ConfigService.DirectAddr, fmt.Sprint("/stale?stale=", stale), nil)
}

// RestoreConfig resets the configuration service to an old version.
func (f *Fleet) RestoreConfig(ctx context.Context, version uint64) error {
	return f.put(ctx, f.ConfigService.DirectAddr, fmt.Sprint("/restore/", version), nil)
}

// ConfigReads returns the number of reads that the configuration service has
// received, including those still waiting for a change.
func (f *Fleet) ConfigReads(ctx context.Context) (int, error) {
	content, err := f.Get(ctx, "http://"+f.ConfigService.DirectAddr.String()+"/reads")
	if err != nil {
		return 0, err
	}
	var reads int
	return reads, json.Unmarshal(content, &reads)
}

// WaitVersion waits until at least the version is active on every entry instance.
func (f *Fleet) WaitVersion(ctx context.Context, version uint64, deadline time.Time) error {
	for _, p := range f.Entries {
		for {
			status, err := f.Status(ctx, p)
			if err == nil && status.ConfigVersion >= version {
				break
			}
			if time.Now().After(deadline) {
				return errorx.TimeoutElapsed.New("%s has version %d, want %d: %v", p.Name, status.ConfigVersion, version, err)
			}
			if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
				return ctx.Err()
			}
		}
	}
	return nil
}

const pollInterval = 20 * time.Millisecond

// PropagationPlan configures a measurement of the time until a configuration
// change is active on all entry instances.
type PropagationPlan struct {
	Bin                  string
	DataCentres, Entries int
	Changes              int
	// Interval is the time between two changes.
	Interval time.Duration
}

// PropagationResults summarizes the times from the publication of a change to its
// activation, over all changes and entry instances.
type PropagationResults struct {
	Instances int     `json:"instances"`
	Changes   int     `json:"changes"`
	MedianMS  float64 `json:"median_ms"`
	P99MS     float64 `json:"p99_ms"`
	WorstMS   float64 `json:"worst_ms"`
	// Missing counts the activations that did not happen.
	Missing int `json:"missing"`
	// Reads counts the reads of the configuration service.
	Reads     int     `json:"service_reads"`
	ReadsPerS float64 `json:"service_reads_per_second"`
	// FromPeers and FromService count the activations by the source of the change.
	FromPeers   int `json:"from_peers"`
	FromService int `json:"from_service"`
}

// MeasurePropagation publishes changes one after the other and reads the times of
// their activation from the audit trails of all entry instances.
func MeasurePropagation(ctx context.Context, plan PropagationPlan) (PropagationResults, error) {
	dir, err := os.MkdirTemp("", "mangoloft-spread-")
	if err != nil {
		return PropagationResults{}, err
	}
	defer os.RemoveAll(dir)
	fleet, err := Start(ctx, Plan{
		Bin: plan.Bin, Dir: dir, DataCentres: plan.DataCentres, Entries: plan.Entries, Engines: 1, Services: 1, Step: time.Second,
	})
	defer fleet.Close()
	if err != nil {
		return PropagationResults{}, err
	}
	results := PropagationResults{Instances: len(fleet.Entries), Changes: plan.Changes}
	readsBefore, err := fleet.ConfigReads(ctx)
	if err != nil {
		return results, err
	}
	start := time.Now()
	published := map[uint64]time.Time{}
	var version uint64
	for i := range plan.Changes {
		at := time.Now()
		value := fmt.Sprintf(`{"kind": "read", "pool": "shop", "target": {"wait_ms": %d}}`, i+1)
		if version, err = fleet.ChangeConfig(ctx, "classes/"+ReadClass, value); err != nil {
			return results, err
		}
		published[version] = at
		sleepUntil(ctx, at.Add(plan.Interval))
	}
	if err := fleet.WaitVersion(ctx, version, time.Now().Add(readyTimeout)); err != nil {
		return results, err
	}
	readsAfter, err := fleet.ConfigReads(ctx)
	if err != nil {
		return results, err
	}
	results.Reads = readsAfter - readsBefore
	results.ReadsPerS = float64(results.Reads) / time.Since(start).Seconds()
	return results, results.readTrails(fleet, published)
}

func (r *PropagationResults) readTrails(fleet *Fleet, published map[uint64]time.Time) error {
	var delays []time.Duration
	for _, p := range fleet.Entries {
		changes, err := fleet.ConfigChanges(p)
		if err != nil {
			return err
		}
		if err := CheckNoRevert(changes); err != nil {
			return err
		}
		for version, at := range published {
			// An instance skips a version if a newer one arrives first.
			i := slices.IndexFunc(changes, func(c ConfigChange) bool { return c.Version >= version })
			if i < 0 {
				r.Missing++
				continue
			}
			delays = append(delays, changes[i].ActiveAt.Sub(at))
			if changes[i].Source == "configuration_service" {
				r.FromService++
			} else {
				r.FromPeers++
			}
		}
	}
	if len(delays) == 0 {
		return errorx.IllegalState.New("no change became active")
	}
	slices.Sort(delays)
	quantile := func(share float64) float64 {
		return delays[int(share*float64(len(delays)-1))].Seconds() * 1000
	}
	r.MedianMS, r.P99MS, r.WorstMS = quantile(0.5), quantile(0.99), quantile(1)
	return nil
}

// PrintPropagation measures the propagation and prints the results as one line of
// JSON.
func PrintPropagation(ctx context.Context, plan PropagationPlan, out io.Writer) error {
	results, err := MeasurePropagation(ctx, plan)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(results)
}
