package tree

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxWeight is the maximum weight of one part of a split.
const maxWeight = 1e9

// Part is one service of a split with its weight.
type Part struct {
	Service string
	Weight  float64
}

// Split divides the calls of a route among services in proportion to their weights.
type Split []Part

// ParseSplit parses the form "rota=90,rota-next=10". Weights range from 0 to maxWeight, and at least one is above zero.
func ParseSplit(text string) (Split, error) {
	var split Split
	total := 0.0
	for _, item := range strings.Split(text, ",") {
		name, number, found := strings.Cut(strings.TrimSpace(item), "=")
		if !found || !validName(name) {
			return nil, errors.Errorf("%q is not a service with a weight such as rota=90", item)
		}
		weight, err := strconv.ParseFloat(number, 64)
		if err != nil || !(weight >= 0 && weight <= maxWeight) {
			return nil, errors.Errorf("%q is not a weight from 0 to %g", number, float64(maxWeight))
		}
		total += weight
		split = append(split, Part{name, weight})
	}
	if total <= 0 {
		return nil, errors.Errorf("no part of %q has a weight above zero", text)
	}
	return split, nil
}

// String returns the text form of the split, as ParseSplit accepts it.
func (s Split) String() string {
	items := make([]string, len(s))
	for i, part := range s {
		items[i] = part.Service + "=" + strconv.FormatFloat(part.Weight, 'g', -1, 64)
	}
	return strings.Join(items, ",")
}
