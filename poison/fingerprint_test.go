package poison

import "testing"

// Guards against a repeated request that is not recognised under another id or key, and
// against a harmless one refused because its fields join to the same text.
func TestFingerprintIdentifiesContent(t *testing.T) {
	one := Content{Method: "POST", Host: "a.example", URI: "/p/1?x=1", Customer: "c1", Body: []byte("body")}
	same := one
	same.Body = []byte("body")
	if one.Fingerprint() != same.Fingerprint() {
		t.Error("the same content has two fingerprints")
	}
	others := []Content{
		{Method: "GET", Host: "a.example", URI: "/p/1?x=1", Customer: "c1", Body: []byte("body")},
		{Method: "POST", Host: "b.example", URI: "/p/1?x=1", Customer: "c1", Body: []byte("body")},
		{Method: "POST", Host: "a.example", URI: "/p/1?x=2", Customer: "c1", Body: []byte("body")},
		{Method: "POST", Host: "a.example", URI: "/p/1?x=1", Customer: "c2", Body: []byte("body")},
		{Method: "POST", Host: "a.example", URI: "/p/1?x=1", Customer: "c1", Body: []byte("bod")},
		{Method: "POST", Host: "a.example", URI: "/p/1?x=1", Customer: "c1b", Body: []byte("ody")},
	}
	for _, other := range others {
		if one.Fingerprint() == other.Fingerprint() {
			t.Errorf("%v has the same fingerprint", other)
		}
	}
}

func TestParseFingerprint(t *testing.T) {
	f := Content{Method: "GET"}.Fingerprint()
	if got, err := ParseFingerprint(f.String()); err != nil || got != f {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"", "xyz", f.String()[2:]} {
		if _, err := ParseFingerprint(bad); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}
