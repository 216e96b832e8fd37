// Package ticket signs and verifies what callers carry for the system: the
// ticket of a call that must not be repeated, and the reference into a stream.
// The system itself keeps neither.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/joomcode/errorx"
)

// MinSecretBytes is the shortest secret that a key may have.
const MinSecretBytes = 32

// Key is one secret with the id that signatures name it by.
type Key struct {
	ID     string
	Secret []byte
}

// Keyring signs with its first key and verifies with all of them, so that a
// key is rotated by putting the new one last everywhere, then first
// everywhere, then dropping the old one.
type Keyring struct {
	keys atomic.Pointer[[]Key]
}

// NewKeyring checks the keys and returns a ring of them.
func NewKeyring(keys []Key) (*Keyring, error) {
	k := &Keyring{}
	if err := k.Replace(keys); err != nil {
		return nil, err
	}
	return k, nil
}

// Replace puts other keys on the ring, at once for all who use it. On an error
// the ring stays as it is.
func (k *Keyring) Replace(keys []Key) error {
	if len(keys) == 0 {
		return errorx.IllegalArgument.New("a key ring needs at least one key")
	}
	seen := map[string]bool{}
	for _, key := range keys {
		if key.ID == "" || strings.Contains(key.ID, ".") || seen[key.ID] {
			return errorx.IllegalArgument.New("key id %q is empty, used twice, or has a dot in it", key.ID)
		}
		seen[key.ID] = true
		if len(key.Secret) < MinSecretBytes {
			return errorx.IllegalArgument.New("the secret of key %q has %d bytes, fewer than %d", key.ID, len(key.Secret), MinSecretBytes)
		}
	}
	keys = slices.Clone(keys)
	k.keys.Store(&keys)
	return nil
}

// all returns the keys; the first one signs.
func (k *Keyring) all() []Key { return *k.keys.Load() }

var errForged = errorx.IllegalFormat.New("malformed, altered, or signed by an unknown key")

// sign signs with the first key.
func (k *Keyring) sign(prefix string, payload any) string { return k.all()[0].sign(prefix, payload) }

// sign returns prefix.key.payload.mac; the prefix keeps one kind of signed
// text from being taken for another.
func (key Key) sign(prefix string, payload any) string {
	content, err := json.Marshal(payload)
	if err != nil {
		panic(err) // Only this package's own wire types come here, and they all marshal.
	}
	body := prefix + "." + key.ID + "." + base64.RawURLEncoding.EncodeToString(content)
	return body + "." + mac(key.Secret, body)
}

// verify checks the signature of text and reads its payload.
func (k *Keyring) verify(prefix, text string, payload any) error {
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return errForged
	}
	body, signature := text[:dot], text[dot+1:]
	parts := strings.Split(body, ".")
	if len(parts) != 3 || parts[0] != prefix {
		return errForged
	}
	for _, key := range k.all() {
		if key.ID != parts[1] {
			continue
		}
		if !hmac.Equal([]byte(mac(key.Secret, body)), []byte(signature)) {
			return errForged
		}
		content, err := base64.RawURLEncoding.DecodeString(parts[2])
		if err != nil {
			return errForged
		}
		if json.Unmarshal(content, payload) != nil {
			return errForged
		}
		return nil
	}
	return errForged
}

func mac(secret []byte, body string) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}
