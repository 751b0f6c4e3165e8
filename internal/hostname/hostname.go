// Package hostname decides when two hosts of requests are the same. The check of a configuration, the match of a request and all
// that is kept by host use this package, so that they cannot come to different results.
package hostname

import (
	"net/netip"
	"strings"
	"unicode"
)

// Canonical returns the form that all spellings of a host have in common, empty if the text names no host. Spellings differ by
// the case of letters, by a port, which does not choose a route, by the final dot of an absolute name, and by the zeros that an
// IPv6 address leaves out. The canonical form of a canonical form is the same.
func Canonical(host string) string {
	host = strings.TrimSpace(withoutPort(strings.TrimSpace(host)))
	if address, ok := ipv6(host); ok {
		return "[" + address.String() + "]"
	}
	return lowerASCII(withoutFinalDot(host))
}

// withoutFinalDot cuts the dot off an absolute name. Other text stays as it is.
func withoutFinalDot(host string) string {
	name := strings.TrimSuffix(host, ".")
	isNoName := func(r rune) bool { return r == ':' || unicode.IsSpace(r) }
	if strings.HasSuffix(name, ".") || strings.ContainsFunc(name, isNoName) {
		return host
	}
	return name
}

// withoutPort cuts off a port, which may be empty. Text with other colons is no name with a port, unless they are those of an
// IPv6 address in brackets.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.Trim(host[colon+1:], "0123456789") != "" {
		return host
	}
	name := host[:colon]
	if strings.Contains(name, ":") && !strings.HasSuffix(name, "]") {
		return host
	}
	return name
}

func ipv6(host string) (netip.Addr, bool) {
	if !strings.HasPrefix(host, "[") || !strings.HasSuffix(host, "]") {
		return netip.Addr{}, false
	}
	address, err := netip.ParseAddr(host[1 : len(host)-1])
	return address, err == nil && address.Is6()
}

// lowerASCII changes no letters but those of ASCII: names have no other case (RFC 4343), and some other letters have the lower
// case of an ASCII one.
func lowerASCII(text string) string {
	if !strings.ContainsFunc(text, isUpperASCII) {
		return text
	}
	lower := []byte(text)
	for i, c := range lower {
		if isUpperASCII(rune(c)) {
			lower[i] = c - 'A' + 'a'
		}
	}
	return string(lower)
}

func isUpperASCII(r rune) bool { return 'A' <= r && r <= 'Z' }
