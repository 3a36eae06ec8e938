// Package fingerprint identifies requests by their content. Clients that come again do so
// with another identifier and at another router, so that the content alone tells that a
// request is the same as an earlier one. The package is pure.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Size is the length of a fingerprint in bytes: long enough that nobody finds two requests
// with the same one, so that no caller can have the request of another one held.
const Size = 16

// Fingerprint is the short name of a request's content. It can be a key of maps.
type Fingerprint [Size]byte

// Content is what makes two requests the same.
type Content struct {
	// Tenant is the caller, empty where callers are not told apart.
	Tenant string
	// Method, Host and Target are those of the request line; Target has the query.
	Method string
	Host   string
	Target string
	// Body is the whole body.
	Body []byte
}

// Of returns the fingerprint of a content.
func Of(content Content) Fingerprint {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(content.Tenant), []byte(content.Method), []byte(content.Host), []byte(content.Target), content.Body} {
		// The lengths keep a part from running into the next one. A hash never fails to write.
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum(nil)[:Size])
}

// FromBytes reads a fingerprint from its bytes, and tells whether they are one.
func FromBytes(encoded []byte) (Fingerprint, bool) {
	if len(encoded) != Size {
		return Fingerprint{}, false
	}
	return Fingerprint(encoded), true
}

// Bytes returns the fingerprint's bytes.
func (f Fingerprint) Bytes() []byte { return f[:] }

// String returns the fingerprint as logs and operators write it, in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
