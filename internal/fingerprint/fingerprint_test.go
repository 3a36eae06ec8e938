package fingerprint_test

import (
	"testing"

	"rockwind.example/rockwind/internal/fingerprint"
)

func TestEveryFieldChangesFingerprint(t *testing.T) {
	base := fingerprint.Content{Tenant: "t", Method: "POST", Host: "h", Target: "/p?q", Body: []byte("b")}
	others := map[string]fingerprint.Content{
		"tenant":           {Tenant: "u", Method: "POST", Host: "h", Target: "/p?q", Body: []byte("b")},
		"method":           {Tenant: "t", Method: "PUT", Host: "h", Target: "/p?q", Body: []byte("b")},
		"host":             {Tenant: "t", Method: "POST", Host: "i", Target: "/p?q", Body: []byte("b")},
		"target":           {Tenant: "t", Method: "POST", Host: "h", Target: "/p?r", Body: []byte("b")},
		"body":             {Tenant: "t", Method: "POST", Host: "h", Target: "/p?q", Body: []byte("c")},
		"field boundaries": {Tenant: "t", Method: "POST", Host: "h", Target: "/p?", Body: []byte("qb")},
	}
	for name, other := range others {
		if fingerprint.Of(base) == fingerprint.Of(other) {
			t.Errorf("the fingerprint does not depend on the %s", name)
		}
	}
	same := fingerprint.Content{Tenant: "t", Method: "POST", Host: "h", Target: "/p?q", Body: []byte("b")}
	if fingerprint.Of(base) != fingerprint.Of(same) {
		t.Error("the same content has different fingerprints")
	}
}

func TestFromBytesRestoresFingerprint(t *testing.T) {
	known := fingerprint.Of(fingerprint.Content{Body: []byte("b")})
	if read, ok := fingerprint.FromBytes(known.Bytes()); !ok || read != known {
		t.Fatalf("%v became %v", known, read)
	}
	if _, ok := fingerprint.FromBytes([]byte("short")); ok {
		t.Fatal("bytes of the wrong length were accepted")
	}
}

func BenchmarkOf(b *testing.B) {
	for name, size := range map[string]int{"1400 bytes": 1400, "34000 bytes": 34000} {
		b.Run(name, func(b *testing.B) {
			content := fingerprint.Content{Method: "POST", Host: "h", Target: "/p", Body: make([]byte, size)}
			for b.Loop() {
				fingerprint.Of(content)
			}
		})
	}
}
