package settings

import (
	"strings"
)

// parseList splits a list at its commas; an empty text is an empty list.
func parseList(text string) []string {
	var list []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}
