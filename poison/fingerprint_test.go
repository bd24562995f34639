package poison

import "testing"

// A request comes again under another id, or with another key of the same customer:
// it must be known again. Another customer's request with the same words, or one whose
// fields only join to the same text, must not be refused for it.
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
