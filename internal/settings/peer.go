package settings

import (
	"fmt"
	"strings"
)

// Peer is a control instance by name and control address.
type Peer struct {
	Name string `validate:"required,name"`
	Addr string `validate:"required,ipport"`
}

// parsePeers reads "name=IP:port,name=IP:port" and lists what cannot be read.
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
