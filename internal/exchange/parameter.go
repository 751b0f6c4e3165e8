package exchange

import "strings"

// findParameter returns the value of a parameter in a list such as "timeout=5, max=100".
func findParameter(list, name string) (string, bool) {
	for _, item := range strings.Split(list, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(item), "=")
		if found && strings.EqualFold(key, name) {
			return strings.Trim(value, `"`), true
		}
	}
	return "", false
}
