// Package check validates files: the settings of an instance, a published
// configuration, or a stream of audit records.
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

// Kind is the kind of a file's content.
type Kind uint8

const (
	// Detect derives the kind from the content.
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

// Stdin is the file name for standard input.
const Stdin = "-"

// maxFileBytes is the maximum size of a file that is read into memory. Trails are
// streamed instead.
const maxFileBytes = 64 << 20

// Checker validates files and writes the results to Out and Faults.
type Checker struct {
	Kind Kind
	// Heads are hashes of records that were written to the trails earlier. The trails
	// must still contain them.
	Heads []string
	In    io.Reader
	// Out receives a summary of each valid file, Faults the faults and warnings.
	Out, Faults io.Writer
}

// Files validates the files and reports whether all are valid. The error joins the
// errors of the files that can't be read.
func (c Checker) Files(names []string) (bool, error) {
	valid := true
	var readErrors []error
	for _, name := range names {
		fileValid, err := c.checkFile(name)
		if err != nil {
			readErrors = append(readErrors, err)
		}
		valid = valid && fileValid
	}
	return valid, errors.Join(readErrors...)
}

func (c Checker) checkFile(name string) (bool, error) {
	if name == Stdin {
		return c.checkStream("standard input", c.In)
	}
	info, err := os.Stat(name)
	if err != nil {
		return false, err
	}
	if info.IsDir() {
		return c.checkDirectory(name)
	}
	file, err := os.Open(name)
	if err != nil {
		return false, err
	}
	defer file.Close()
	return c.checkStream(name, file)
}

// detectBytes is the length of the prefix that is searched for a record to detect a
// trail.
const detectBytes = 64 << 10

func (c Checker) checkStream(name string, r io.Reader) (bool, error) {
	prefix, err := io.ReadAll(io.LimitReader(r, detectBytes))
	if err != nil {
		return false, err
	}
	full := io.MultiReader(bytes.NewReader(prefix), r)
	kind := c.Kind
	if kind == Trail || kind == Detect && isTrail(prefix) {
		return c.checkTrail(name, full)
	}
	content, err := io.ReadAll(io.LimitReader(full, maxFileBytes+1))
	if err != nil {
		return false, err
	}
	if len(content) > maxFileBytes {
		return false, errorx.IllegalArgument.New("%s: more than %d bytes", name, maxFileBytes)
	}
	if kind == Configuration || kind == Detect && isConfiguration(content) {
		return c.checkConfigurationFile(name, content), nil
	}
	return c.checkSettings(name, content), nil
}

// isTrail reports whether any line of the prefix is a complete audit record. The
// first lines may be corrupt.
func isTrail(prefix []byte) bool {
	for line := range bytes.Lines(prefix) {
		var wire struct {
			Event uint16 `json:"event"`
		}
		if json.Unmarshal(line, &wire) == nil && wire.Event != 0 {
			return true
		}
	}
	return false
}

// isConfiguration reports whether the content is an object with a name that contains
// a slash, as the keys of a configuration do.
func isConfiguration(content []byte) bool {
	members, _ := jsonc.Members("", content)
	for name := range members {
		if strings.Contains(name, "/") {
			return true
		}
	}
	return false
}

func (c Checker) checkSettings(name string, content []byte) bool {
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

// valueSuffix is the suffix of the files in a configuration's directory. It is not
// part of the key.
const valueSuffix = ".json"

// checkDirectory validates the configuration whose values are in the files of a
// directory. It ignores hidden files.
func (c Checker) checkDirectory(name string) (bool, error) {
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
	return c.checkConfiguration(name, values, func(fault jsonc.Fault) jsonc.Fault {
		fault.File = files[fault.File]
		return fault
	}), nil
}

func (c Checker) checkConfigurationFile(name string, content []byte) bool {
	values, faults := jsonc.Members(name, content)
	if len(faults) > 0 {
		fmt.Fprintln(c.Faults, faults)
		return false
	}
	return c.checkConfiguration(name, values, func(fault jsonc.Fault) jsonc.Fault {
		fault.File, fault.Field = name, fmt.Sprintf("[%q].%s", fault.File, fault.Field)
		return fault
	})
}

// checkConfiguration validates the values of a configuration, by key. The parser
// reports faults with the key as their file; locate replaces it with the real file.
func (c Checker) checkConfiguration(name string, values map[string][]byte, locate func(jsonc.Fault) jsonc.Fault) bool {
	doc := config.Document{Index: config.Index{Version: 1, Values: map[string]config.IndexEntry{}}, Values: values}
	for key, value := range values {
		doc.Index.Values[key] = config.IndexEntry{Version: 1, SHA256: config.Hash(value)}
	}
	view, faults := config.Parse(doc)
	if len(faults) > 0 {
		for i, fault := range faults {
			faults[i] = locate(fault)
		}
		faults.Sort()
		fmt.Fprintln(c.Faults, faults)
		return false
	}
	fmt.Fprintf(c.Out, "%s: a good configuration with %d values: classes %s; pools %s; %d teams\n", name, len(values),
		strings.Join(slices.Sorted(maps.Keys(view.Classes)), ", "), strings.Join(slices.Sorted(maps.Keys(view.Pools)), ", "), view.Teams())
	return true
}

func (c Checker) checkTrail(name string, r io.Reader) (bool, error) {
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
