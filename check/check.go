// Package check tells whether a file is as it should be: the settings of an
// instance, a published configuration, or a stream of audit records.
package check

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/joomcode/errorx"

	"mangoloft/audit"
	"mangoloft/config"
	"mangoloft/jsonc"
	"mangoloft/settings"
)

// Kind is what a file holds.
type Kind uint8

const (
	// Detect means that the content tells the kind.
	Detect Kind = iota
	// Settings is the settings file of an instance.
	Settings
	// Configuration is a published configuration: a directory with a file for
	// each value, or one file with an object of all values by key.
	Configuration
	// Trail is a stream of audit records.
	Trail
)

var kindNames = [...]string{Detect: "detect", Settings: "settings", Configuration: "configuration", Trail: "trail"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(text []byte) error {
	i := slices.Index(kindNames[:], string(text))
	if i < 0 {
		return errorx.IllegalArgument.New("the kind is %s", strings.Join(kindNames[:], ", "))
	}
	*k = Kind(i)
	return nil
}

// Stdin is the name that stands for standard input.
const Stdin = "-"

// maxFileBytes bounds a file that is held in memory. Trails are not.
const maxFileBytes = 64 << 20

// Checker checks files and tells about them.
type Checker struct {
	Kind Kind
	// Heads are hashes of records that are known to have been written to the
	// trails.
	Heads []string
	In    io.Reader
	// Out gets what was found to be good, Faults what was not.
	Out, Faults io.Writer
}

// Files checks all files and reports whether all are good. The error joins
// those of the files that can't be read.
func (c Checker) Files(names []string) (bool, error) {
	good := true
	var unread []error
	for _, name := range names {
		fileGood, err := c.file(name)
		if err != nil {
			unread = append(unread, err)
		}
		good = good && fileGood
	}
	return good, errors.Join(unread...)
}

func (c Checker) file(name string) (bool, error) {
	if name == Stdin {
		return c.stream("standard input", c.In)
	}
	info, err := os.Stat(name)
	if err != nil {
		return false, err
	}
	if info.IsDir() {
		return c.directory(name)
	}
	file, err := os.Open(name)
	if err != nil {
		return false, err
	}
	defer file.Close()
	return c.stream(name, file)
}

// detectBytes is how much of a stream is looked at for its kind.
const detectBytes = 64 << 10

func (c Checker) stream(name string, r io.Reader) (bool, error) {
	start, err := io.ReadAll(io.LimitReader(r, detectBytes))
	if err != nil {
		return false, err
	}
	whole := io.MultiReader(bytes.NewReader(start), r)
	kind := c.Kind
	if kind == Trail || kind == Detect && isTrail(start) {
		return c.trail(name, whole)
	}
	content, err := io.ReadAll(io.LimitReader(whole, maxFileBytes+1))
	if err != nil {
		return false, err
	}
	if len(content) > maxFileBytes {
		return false, errorx.IllegalArgument.New("%s: more than %d bytes", name, maxFileBytes)
	}
	if kind == Configuration || kind == Detect && isConfiguration(content) {
		return c.configurationFile(name, content), nil
	}
	return c.settings(name, content), nil
}

// isTrail looks for a line that is a whole record, wherever it stands: the
// first ones may be garbled.
func isTrail(start []byte) bool {
	for line := range bytes.Lines(start) {
		var wire struct {
			Event uint16 `json:"event"`
		}
		if json.Unmarshal(line, &wire) == nil && wire.Event != 0 {
			return true
		}
	}
	return false
}

func isConfiguration(content []byte) bool {
	members, _ := jsonc.Members("", content)
	for name := range members {
		if strings.Contains(name, "/") {
			return true
		}
	}
	return false
}

func (c Checker) settings(name string, content []byte) bool {
	s, err := settings.Parse(name, content)
	if err != nil {
		fmt.Fprintln(c.Faults, err)
		return false
	}
	for _, warning := range s.Warnings {
		fmt.Fprintf(c.Faults, "%s: warning: %s\n", name, warning)
	}
	fmt.Fprintf(c.Out, "%s: good settings of instance %s\n", name, s.Instance)
	return true
}

// valueSuffix ends the files of a configuration's directory. It is no part of
// the key.
const valueSuffix = ".json"

func (c Checker) directory(name string) (bool, error) {
	values, files := map[string][]byte{}, map[string]string{}
	err := filepath.WalkDir(name, func(path string, entry fs.DirEntry, err error) error {
		isHidden := path != name && strings.HasPrefix(entry.Name(), ".")
		switch {
		case err != nil:
			return err
		case isHidden && entry.IsDir():
			return fs.SkipDir
		case isHidden || entry.IsDir():
			return nil
		}
		relative, err := filepath.Rel(name, path)
		if err != nil {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		key := strings.TrimSuffix(filepath.ToSlash(relative), valueSuffix)
		values[key], files[key] = content, path
		return nil
	})
	if err != nil {
		return false, err
	}
	return c.configuration(name, values, func(fault jsonc.Fault) jsonc.Fault {
		fault.File = files[fault.File]
		return fault
	}), nil
}

func (c Checker) configurationFile(name string, content []byte) bool {
	values, faults := jsonc.Members(name, content)
	if len(faults) > 0 {
		fmt.Fprintln(c.Faults, faults)
		return false
	}
	return c.configuration(name, values, func(fault jsonc.Fault) jsonc.Fault {
		fault.File, fault.Field = name, fmt.Sprintf("[%q].%s", fault.File, fault.Field)
		return fault
	})
}

// configuration checks values by their keys. Place names the file of a fault,
// which has the key in its stead.
func (c Checker) configuration(name string, values map[string][]byte, place func(jsonc.Fault) jsonc.Fault) bool {
	doc := config.Document{Index: config.Index{Version: 1, Values: map[string]config.IndexEntry{}}, Values: values}
	for key, value := range values {
		doc.Index.Values[key] = config.IndexEntry{Version: 1, SHA256: config.Hash(value)}
	}
	view, faults := config.Parse(doc)
	if len(faults) > 0 {
		for i, fault := range faults {
			faults[i] = place(fault)
		}
		faults.Sort()
		fmt.Fprintln(c.Faults, faults)
		return false
	}
	fmt.Fprintf(c.Out, "%s: a good configuration with %d values: classes %s; pools %s; %d teams\n", name, len(values),
		strings.Join(slices.Sorted(maps.Keys(view.Classes)), ", "), strings.Join(slices.Sorted(maps.Keys(view.Pools)), ", "), view.Teams())
	return true
}

func (c Checker) trail(name string, r io.Reader) (bool, error) {
	report, err := audit.Verify(r, c.Heads...)
	if err != nil {
		return false, err
	}
	if len(report.Faults) > 0 {
		fmt.Fprintf(c.Faults, "%s: the trail is not as it was written\n%s", name, report)
		return false, nil
	}
	fmt.Fprintf(c.Out, "%s: a whole trail\n%s", name, report)
	return true, nil
}
