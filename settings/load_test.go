package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// validFile is a complete settings file. Test cases replace one part of it.
const validFile = `{
  "instance": "entry-1", "data_centre": "dc1",
  "listen": {"callers": "10.0.0.1:8080", "peers": "10.0.0.1:7000", "operators": "10.0.0.1:9090"},
  "platform": {"configuration": "10.0.9.1:80", "instance_list": "10.0.9.2:80"},
  "keys": [{"id": "k1", "secret_file": "key"}],
}`

const secretText = "0123456789abcdef0123456789abcdef"

// fakeSecrets replaces the file system. The settings file is in /etc.
func fakeSecrets(path string) (secretFile, error) {
	switch path {
	case "/etc/key", "/abs/key":
		return secretFile{[]byte(secretText + "\n"), 0o600}, nil
	case "/etc/short":
		return secretFile{[]byte("short"), 0o600}, nil
	case "/etc/open":
		return secretFile{[]byte(secretText), 0o644}, nil
	}
	return secretFile{}, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
}

func TestFaults(t *testing.T) {
	for name, c := range map[string]struct{ part, replacement, want string }{
		"valid":                {"", "", ""},
		"missing instance":     {`"instance": "entry-1", `, ``, `1:1: instance: found nothing; allowed: ` + allowedName},
		"bad instance":         {`entry-1`, `entry 1`, `2:15: instance: found "entry 1"; allowed: ` + allowedName},
		"long data centre":     {`dc1`, strings.Repeat("d", 64), `2:41: data_centre: found "` + strings.Repeat("d", 64) + `"; allowed: ` + allowedName},
		"number for a name":    {`"dc1"`, `1`, `2:41: data_centre: found 1; allowed: a string`},
		"unspecified peers":    {`"peers": "10.0.0.1:7000"`, `"peers": "0.0.0.0:7000"`, `3:51: listen.peers: found "0.0.0.0:7000"; allowed: ` + allowedTarget},
		"multicast listener":   {`10.0.0.1:8080`, `224.0.0.1:8080`, `3:25: listen.callers: found "224.0.0.1:8080"; allowed: ` + allowedAddr + `; port 1 to 65535`},
		"port zero":            {`10.0.0.1:9090`, `10.0.0.1:0`, `3:81: listen.operators: found "10.0.0.1:0"; allowed: ` + allowedAddr + `; port 1 to 65535`},
		"host name":            {`10.0.0.1:9090`, `localhost:9090`, `3:81: listen.operators: found "localhost:9090"; allowed: ` + allowedAddr},
		"same listeners":       {`10.0.0.1:7000`, `10.0.0.1:8080`, `3:51: listen.peers: found the address of listen.callers; allowed: an address of its own`},
		"overlapping listener": {`10.0.0.1:9090`, `0.0.0.0:8080`, `3:81: listen.operators: found the address of another listener; allowed: an address of its own`},
		"missing platform":     {`"platform": {"configuration": "10.0.9.1:80", "instance_list": "10.0.9.2:80"},`, ``, "1:1: platform.configuration: found nothing; allowed: " + allowedTarget + "\n/etc/s.json:1:1: platform.instance_list: found nothing; allowed: " + allowedTarget},
		"unspecified platform": {`10.0.9.1:80`, `[::]:80`, `4:33: platform.configuration: found "[::]:80"; allowed: ` + allowedTarget},
		"bad advertise":        {`"keys"`, `"advertise": "[fe80::1%eth0]:1", "keys"`, `5:16: advertise: found "[fe80::1%eth0]:1"; allowed: ` + allowedTarget},
		"no keys":              {`{"id": "k1", "secret_file": "key"}`, ``, `5:11: keys: found an empty list; allowed: at least one key`},
		"dot in a key's id":    {`"k1"`, `"k.1"`, `5:19: keys[0].id: found "k.1"; allowed: 1 to 63 letters, digits, '_' or '-', different for each key`},
		"duplicate key id":     {`"key"}`, `"key"}, {"id": "k1", "secret_file": "/abs/key"}`, `5:55: keys[1].id: found "k1"; allowed: 1 to 63 letters, digits, '_' or '-', different for each key`},
		"missing secret file":  {`, "secret_file": "key"`, ``, `5:12: keys[0].secret_file: found nothing; allowed: the path of a file, from the directory of the settings file`},
		"secret in the field":  {`"key"`, `"` + secretText + `"`, `5:40: keys[0].secret_file: found a file that can't be read: file does not exist; allowed: the path of a file, from the directory of the settings file`},
		"inline secret":        {`"secret_file": "key"`, `"secret": "` + secretText + `"`, "5:12: keys[0].secret_file: found nothing; allowed: the path of a file, from the directory of the settings file\n/etc/s.json:5:25: keys[0].secret: found unknown field \"secret\"; allowed: the fields id, secret_file"},
		"secret as a key":      {`{"id": "k1", "secret_file": "key"}`, `"` + secretText + `"`, "5:12: keys[0]: found a string; allowed: an object"},
		"short secret":         {`"key"`, `"short"`, `5:40: keys[0].secret_file: found a secret of 5 bytes; allowed: 32 to 4096 bytes`},
		"limits out of range":  {`"keys"`, `"limits": {"body_bytes": 1, "open_requests": 0}, "keys"`, "5:28: limits.body_bytes: found 1; allowed: 1024 to 67108864\n/etc/s.json:5:48: limits.open_requests: found 0; allowed: 1 to 1000000"},
		"incomplete TLS files": {`"keys"`, `"tls": {"callers": {"key_file": "k"}}, "keys"`, `5:22: tls.callers: found only a part of the files; allowed: certificate_file and key_file, and ca_file for peers`},
		"missing certificate":  {`"keys"`, `"tls": {"callers": {"certificate_file": "/etc/none", "key_file": "k"}}, "keys"`, `5:22: tls.callers: found files that can't be used: no such file or directory; allowed: PEM files of a certificate, its key, and the authority`},
		"peers without a CA":   {`"keys"`, `"tls": {"peers": {"certificate_file": "/etc/none", "key_file": "k"}}, "keys"`, `5:20: tls.peers: found only a part of the files; allowed: certificate_file and key_file, and ca_file for peers`},
		"empty file":           {validFile, ``, `1:1: (document): found parsing value: unexpected EOF; allowed: JSON with comments and trailing commas`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parse("/etc/s.json", []byte(strings.Replace(validFile, c.part, c.replacement, 1)), fakeSecrets)
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, "found")
			assert.Equal(t, err.Error(), "/etc/s.json:"+c.want)
			assert.Assert(t, !strings.Contains(err.Error(), secretText), "the error must not contain the secret")
		})
	}
}

func TestDefaultsAndWarnings(t *testing.T) {
	content := strings.Replace(validFile, `"key"}`, `"open"}`, 1)
	s, err := parse("/etc/s.json", []byte(content), fakeSecrets)
	assert.NilError(t, err)
	assert.Equal(t, s.Advertise, s.Listen.Peers)
	assert.Equal(t, s.Limits, Limits{BodyBytes: defaultBodyBytes, OpenRequests: defaultOpenRequests, StopGraceMS: defaultStopGraceMS})
	assert.DeepEqual(t, s.Warnings, []string{"keys[0].secret_file: the file has mode 0644; others than its owner may read or change it"})
	assert.Equal(t, string(s.Keys[0].Secret), secretText)
}

func TestAdvertise(t *testing.T) {
	content := strings.Replace(validFile, `"peers": "10.0.0.1:7000"`, `"peers": "0.0.0.0:7000"`, 1)
	content = strings.Replace(content, `"keys"`, `"advertise": "[::ffff:10.0.0.1]:7001", "keys"`, 1)
	s, err := parse("/etc/s.json", []byte(content), fakeSecrets)
	assert.NilError(t, err)
	assert.Equal(t, s.Advertise.String(), "10.0.0.1:7001")
}

// TestLoad checks Load with real files. The secret's relative path is resolved against
// the directory of the settings file.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.json")
	assert.NilError(t, os.WriteFile(path, []byte(validFile), 0o600))
	_, err := Load(path)
	assert.ErrorContains(t, err, "keys[0].secret_file")
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "key"), []byte(secretText), 0o600))
	s, err := Load(path)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Warnings), 0)
	_, err = Load(filepath.Join(dir, "none"))
	assert.Assert(t, errors.Is(err, fs.ErrNotExist))
}

// FuzzParse checks that the result is always the same, and that errors never contain
// a secret.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte(`{"keys": [{}, null, 1], "listen": {"peers": "[::]:0"}}`))
	f.Add([]byte(`{"limits": {"body_bytes": -1}, "keys": [{"id": "a", "secret_file": "open"}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := parse("/etc/s.json", content, fakeSecrets)
		if err == nil {
			assert.Assert(t, s.Advertise.IsValid() && len(s.Keys) > 0)
		}
		_, secondErr := parse("/etc/s.json", content, fakeSecrets)
		assert.Equal(t, fmt.Sprint(secondErr), fmt.Sprint(err))
		assert.Assert(t, !strings.Contains(fmt.Sprint(err), secretText) || strings.Contains(string(content), secretText))
	})
}
