package hostname

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSpellingsOfOneHostAreTheSame guards against two routes of one host, of which one takes the calls of the other.
func TestSpellingsOfOneHostAreTheSame(t *testing.T) {
	for canonical, spellings := range map[string][]string{
		"plaza.example": {"plaza.example", "Plaza.example", "PLAZA.EXAMPLE", "plaza.example:80", "plaza.example:8443", "plaza.example:", "plaza.example.", "Plaza.Example.:80", " plaza.example "},
		"10.0.0.8":      {"10.0.0.8", "10.0.0.8:8080"},
		"[2001:db8::1]": {"[2001:db8::1]", "[2001:DB8::1]", "[2001:db8:0:0:0:0:0:1]:80", "[2001:0db8::0001]:"},
		"":              {"", " ", ".", ":80", ".:80"},
	} {
		for _, spelling := range spellings {
			require.Equal(t, canonical, Canonical(spelling), spelling)
		}
	}
}

// TestOtherHostsStayApart lists hosts that resemble each other and are not the same.
func TestOtherHostsStayApart(t *testing.T) {
	hosts := []string{
		"plaza.example", "www.plaza.example", "plaza.example.mx", "plaza.example..", "plazaexample", "plaza-example", "plaza.example:http",
		"[::1]", "[::2]", "[::1%lo]", "::1", "10.0.0.8", "10.0.0.80", "k.example", "\u212a.example", "plaza.exámple", "plaza.exÁmple", "xn--plaza.example",
	}
	seen := map[string]string{}
	for _, host := range hosts {
		other, taken := seen[Canonical(host)]
		require.False(t, taken, "%q and %q", host, other)
		seen[Canonical(host)] = host
	}
}

// FuzzCanonical checks that the canonical form is its own canonical form.
func FuzzCanonical(f *testing.F) {
	for _, host := range []string{"Plaza.example.:80", "[::1]:80", "a:1:2", "..", " a :1", "[::ffff:10.0.0.1]", "\xff:"} {
		f.Add(host)
	}
	f.Fuzz(func(t *testing.T, host string) {
		once := Canonical(host)
		if twice := Canonical(once); twice != once {
			t.Fatalf("%q: %q, then %q", host, once, twice)
		}
	})
}
