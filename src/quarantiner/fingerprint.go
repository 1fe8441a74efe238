package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/rosecroft/rosecroft/src/units"
)

// FingerprintOf returns the fingerprint of a request.
//
// Callers control the hashed content, so the hash is cryptographic: no caller can craft a request
// that collides with one of another account.
func FingerprintOf(account units.Account, method, host, path string, body []byte) units.Fingerprint {
	hash := sha256.New()
	var size [8]byte
	for _, part := range []string{string(account), method, host, path} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		// Writes to a hash never fail.
		_, _ = hash.Write(size[:])
		_, _ = io.WriteString(hash, part)
	}
	_, _ = hash.Write(body)
	var sum [sha256.Size]byte
	return units.Fingerprint(binary.LittleEndian.Uint64(hash.Sum(sum[:0])))
}
