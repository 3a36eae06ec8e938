package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
)

// MaxParts bounds the parts of a prompt that have a fingerprint. Further ones are ignored.
const MaxParts = 16

// OfParts returns the fingerprints of the parts of a prompt that other requests may have in
// common, given the IDs of all parts in order. The last part belongs to the request alone and
// is left out. A part has the same fingerprint in each request to the service, whatever its
// tenant, place and other parts are.
func OfParts(service string, ids []string) []Fingerprint {
	shared := min(len(ids)-1, MaxParts)
	if shared <= 0 {
		return nil
	}
	fingerprints := make([]Fingerprint, 0, shared)
	for _, id := range ids[:shared] {
		fingerprints = append(fingerprints, ofPart(service, id))
	}
	return fingerprints
}

func ofPart(service, id string) Fingerprint {
	encoded := make([]byte, 0, 128)
	for _, field := range []string{"part", service, id} {
		encoded = binary.AppendUvarint(encoded, uint64(len(field)))
		encoded = append(encoded, field...)
	}
	digest := sha256.Sum256(encoded)
	return Fingerprint(digest[:Size])
}

// Strings returns the fingerprints in hexadecimal.
func Strings(fingerprints []Fingerprint) []string {
	encoded := make([]string, 0, len(fingerprints))
	for _, each := range fingerprints {
		encoded = append(encoded, each.String())
	}
	return encoded
}

// BytesOf returns the bytes of each fingerprint.
func BytesOf(fingerprints []Fingerprint) [][]byte {
	encoded := make([][]byte, 0, len(fingerprints))
	for _, each := range fingerprints {
		encoded = append(encoded, each.Bytes())
	}
	return encoded
}
