// Package ticket signs and verifies the two kinds of text that callers store for
// the system: the ticket of a call, which lets the call run at most once, and the
// reference to a position in a stream, from which the stream can be resumed. The
// system itself stores neither.
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

// MinSecretBytes is the minimum length of a key's secret.
const MinSecretBytes = 32

// Key is a secret and the id by which signatures refer to it.
type Key struct {
	ID     string
	Secret []byte
}

// Keyring signs with its first key and verifies with all of them. To rotate
// keys, append the new key on every instance, then move it to the front on every
// instance, and then remove the old key.
type Keyring struct {
	keys atomic.Pointer[[]Key]
}

// NewKeyring validates the keys and returns a key ring with them.
func NewKeyring(keys []Key) (*Keyring, error) {
	k := &Keyring{}
	if err := k.Replace(keys); err != nil {
		return nil, err
	}
	return k, nil
}

// Replace atomically replaces all keys of the ring. On an error the ring stays
// unchanged.
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

// load returns the current keys, of which the first one signs.
func (k *Keyring) load() []Key { return *k.keys.Load() }

var errInvalid = errorx.IllegalFormat.New("malformed, altered, or signed by an unknown key")

// sign signs with the first key.
func (k *Keyring) sign(prefix string, payload any) string { return k.load()[0].sign(prefix, payload) }

// sign returns prefix.key.payload.mac. The prefix prevents one kind of signed
// text from being accepted as another.
func (key Key) sign(prefix string, payload any) string {
	content, err := json.Marshal(payload)
	if err != nil {
		panic(err) // Payloads are this package's own wire types, which always marshal.
	}
	body := prefix + "." + key.ID + "." + base64.RawURLEncoding.EncodeToString(content)
	return body + "." + mac(key.Secret, body)
}

// verify checks the prefix and signature of text and decodes its payload.
func (k *Keyring) verify(prefix, text string, payload any) error {
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return errInvalid
	}
	body, signature := text[:dot], text[dot+1:]
	parts := strings.Split(body, ".")
	if len(parts) != 3 || parts[0] != prefix {
		return errInvalid
	}
	for _, key := range k.load() {
		if key.ID != parts[1] {
			continue
		}
		if !hmac.Equal([]byte(mac(key.Secret, body)), []byte(signature)) {
			return errInvalid
		}
		content, err := base64.RawURLEncoding.DecodeString(parts[2])
		if err != nil {
			return errInvalid
		}
		if json.Unmarshal(content, payload) != nil {
			return errInvalid
		}
		return nil
	}
	return errInvalid
}

func mac(secret []byte, body string) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}
