// Package fingerprint identifies requests by their content. A client may retry with
// another request ID and through another router, so only the content shows that a
// request is the same as an earlier one. The package is pure.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Size is the length of a fingerprint in bytes. It makes collisions infeasible, so that
// no caller can have another caller's request held.
const Size = 16

// Fingerprint is a truncated hash of a request's content.
type Fingerprint [Size]byte

// Content holds what identifies a request.
type Content struct {
	// Tenant is the caller, empty if callers are not distinguished.
	Tenant string
	// Method, Host and Target are those of the request line; Target includes the query.
	Method string
	Host   string
	Target string
	Body   []byte
}

// Of returns the fingerprint of a content.
func Of(content Content) Fingerprint {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(content.Tenant), []byte(content.Method), []byte(content.Host), []byte(content.Target), content.Body} {
		// Length prefixes keep the parts apart. Writes to a hash never fail.
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum(nil)[:Size])
}

// FromBytes returns the fingerprint with the given bytes, and false if their length is
// wrong.
func FromBytes(encoded []byte) (Fingerprint, bool) {
	if len(encoded) != Size {
		return Fingerprint{}, false
	}
	return Fingerprint(encoded), true
}

// Bytes returns the fingerprint's bytes.
func (f Fingerprint) Bytes() []byte { return f[:] }

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
