package settings

import (
	"fmt"
	"strings"
)

// Peer is the name and the control address of a control instance.
type Peer struct {
	Name string `validate:"required,name"`
	Addr string `validate:"required,ipport"`
}

// parsePeers parses "name=IP:port,name=IP:port". It also returns a message for each malformed item.
func parsePeers(text string) ([]Peer, []string) {
	var peers []Peer
	var faults []string
	if text == "" {
		return nil, nil
	}
	for _, item := range strings.Split(text, ",") {
		name, addr, ok := strings.Cut(strings.TrimSpace(item), "=")
		if !ok {
			faults = append(faults, fmt.Sprintf("--control-peers: %q is not name=IP:port", item))
			continue
		}
		peers = append(peers, Peer{Name: name, Addr: addr})
	}
	return peers, faults
}
