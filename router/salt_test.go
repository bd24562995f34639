package router

import (
	"testing"

	"acaciakeel/catalog"
)

// Guards against an isolated customer whose earlier prompt parts other customers go on using, or
// that goes on using theirs, because the shared salt stays the same.
func TestIsolationEndsSharingOfEarlierParts(t *testing.T) {
	salt := func(name string, isolated ...string) string {
		c := &catalog.Config{Customers: []*catalog.Customer{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}}
		for _, customer := range c.Customers {
			for _, i := range isolated {
				customer.Isolated = customer.Isolated || customer.Name == i
			}
		}
		in := &admittedRequest{Request: &Request{Model: "m"}, isolated: c.Index().Isolated()}
		for _, customer := range c.Customers {
			if customer.Name == name {
				in.customer = customer
			}
		}
		return in.cacheSalt(1)
	}
	for _, test := range []struct {
		what        string
		one, other  string
		wantSharing bool
	}{
		{"two customers", salt("a"), salt("b"), true},
		{"a public request", salt(""), salt("b"), true},
		{"two customers beside an isolated one", salt("b", "a"), salt("c", "a"), true},
		{"the isolated customers in another order", salt("c", "a", "b"), salt("d", "b", "a"), true},
		{"an isolated customer and another one", salt("a", "a"), salt("b", "a"), false},
		{"two isolated customers", salt("a", "a", "b"), salt("b", "a", "b"), false},
		{"what a customer left before it was isolated", salt("a"), salt("b", "a"), false},
		{"what others left before it was isolated", salt("b"), salt("a", "a"), false},
		{"what one left before it was isolated beside another", salt("b", "a"), salt("c", "a", "b"), false},
		{"what an isolated customer left before another was", salt("a", "a"), salt("a", "a", "b"), true},
	} {
		if got := test.one == test.other; got != test.wantSharing {
			t.Errorf("%s share parts: %v, want %v", test.what, got, test.wantSharing)
		}
	}
}
