package settings

import (
	"strings"
)

// parseList splits a comma-separated list. It trims spaces and omits empty items.
func parseList(text string) []string {
	var list []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}
