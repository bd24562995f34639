package catalog

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against routes that never come into force: a prefix with an escape was compared with the
// decoded path, and the service of a shorter prefix got the requests.
func TestRoutesWithEscapesAreMatched(t *testing.T) {
	c := &Config{}
	for _, prefix := range []string{"/", "/a/", "/a/cafe/", "/a/caf%C3%A9/", "/a/b%2fc/", "/a/~x/", "/ü/", "/a/100%/"} {
		c.Routes = append(c.Routes, &Route{Name: prefix, Host: "h", Prefix: prefix})
	}
	c.Index()
	for path, want := range map[string]string{
		"/a/cafe/x":       "/a/cafe/",
		"/a/%63afe/x":     "/a/cafe/",
		"/a/caf%C3%A9/x":  "/a/caf%C3%A9/",
		"/a/caf%c3%a9/x":  "/a/caf%C3%A9/",
		"/a/b%2Fc/x":      "/a/b%2fc/",
		"/a/b/c/x":        "/a/",
		"/a/%7Ex/y":       "/a/~x/",
		"/%C3%BC/x":       "/ü/",
		"/a/100%/x":       "/a/100%/",
		"/a%2Fcafe/x":     "/",
		"/a/caf%C3%A9":    "/a/",
		"/a/caf%25C3%A9/": "/a/",
	} {
		if got := c.Match("h:80", path); got == nil || got.Name != want {
			t.Errorf("%s is matched by %+v, want %s", path, got, want)
		}
	}
}

// Guards against a percent sign that begins no escape and forms one with a character decoded after it.
func TestLonePercentSignFormsNoEscape(t *testing.T) {
	c := &Config{Routes: []*Route{{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "lone", Host: "h", Prefix: "/a/%2%46/"}}}
	c.Index()
	for path, want := range map[string]string{
		"/a/%2F/x":    "short",
		"/a/%2%46/x":  "lone",
		"/a/%252F/x":  "lone",
		"/a/%25/x":    "short",
		"/a/%252%46/": "lone",
	} {
		if got := c.Match("h", path); got == nil || got.Name != want {
			t.Errorf("%s is matched by %+v, want %s", path, got, want)
		}
	}
}

// Whatever a path is, normalizing it twice changes nothing more, and prefixes stay prefixes.
func TestNormalizedPaths(t *testing.T) {
	segment := rapid.StringMatching(`([a-z~%/ü]|%[0-9a-fA-F]{2})*`)
	rapid.Check(t, func(t *rapid.T) {
		prefix, rest := segment.Draw(t, "prefix")+"/", segment.Draw(t, "rest")
		once := normalizePath(prefix)
		if twice := normalizePath(once); twice != once {
			t.Fatalf("%q becomes %q, and %q", prefix, once, twice)
		}
		if whole := normalizePath(prefix + rest); whole != once+normalizePath(rest) {
			t.Fatalf("%q with %q becomes %q, alone %q", prefix, rest, whole, once)
		}
	})
}
