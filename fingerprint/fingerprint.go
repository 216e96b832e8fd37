// Package fingerprint recognizes requests that callers repeat.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint is the same for all attempts at one request: the same team, method, target
// and body. Zero means that there is none.
type Fingerprint uint64

// Of returns the fingerprint of a request. The hash is cryptographic, so that no team can
// send requests with the fingerprint of another team's.
func Of(team, method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, field := range []string{team, method, host, target} {
		// The length keeps fields apart: "ab" and "c" differ from "a" and "bc".
		hash.Write(binary.AppendUvarint(nil, uint64(len(field))))
		hash.Write([]byte(field))
	}
	hash.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil)))
}

// String returns the fingerprint as a hexadecimal number.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
