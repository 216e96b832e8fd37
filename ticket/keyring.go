// Package ticket signs and verifies what callers carry for the system: the
// ticket of a call that must not be repeated, and the reference into a stream.
// The system itself keeps neither.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

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
	keys []Key
}

// NewKeyring checks the keys and returns a ring of them.
func NewKeyring(keys []Key) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, errorx.IllegalArgument.New("a key ring needs at least one key")
	}
	seen := map[string]bool{}
	for _, key := range keys {
		if key.ID == "" || strings.Contains(key.ID, ".") || seen[key.ID] {
			return nil, errorx.IllegalArgument.New("key id %q is empty, used twice, or has a dot in it", key.ID)
		}
		seen[key.ID] = true
		if len(key.Secret) < MinSecretBytes {
			return nil, errorx.IllegalArgument.New("the secret of key %q has %d bytes, fewer than %d", key.ID, len(key.Secret), MinSecretBytes)
		}
	}
	return &Keyring{keys: keys}, nil
}

var errForged = errorx.IllegalFormat.New("malformed, altered, or signed by an unknown key")

// sign returns prefix.key.payload.mac; the prefix keeps one kind of signed
// text from being taken for another.
func (k *Keyring) sign(prefix string, payload any) string {
	content, err := json.Marshal(payload)
	if err != nil {
		panic(err) // Only this package's own wire types come here, and they all marshal.
	}
	body := prefix + "." + k.keys[0].ID + "." + base64.RawURLEncoding.EncodeToString(content)
	return body + "." + mac(k.keys[0].Secret, body)
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
	for _, key := range k.keys {
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
