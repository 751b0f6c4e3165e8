package tree

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"samphireflow/internal/customer"
)

// maxDigests bounds the keys of one customer.
const maxDigests = 1024

// ParseDigests parses a list of digests of keys and returns them sorted, each once. Each has 32 hexadecimal digits.
func ParseDigests(text string) ([]string, error) {
	digests := strings.Fields(strings.ToLower(text))
	for _, digest := range digests {
		if _, ok := customer.ParseDigest(digest); !ok {
			return nil, errors.Errorf("%q is not a digest of %d hexadecimal digits", digest, 2*len(customer.Digest{}))
		}
	}
	slices.Sort(digests)
	digests = slices.Compact(digests)
	if len(digests) > maxDigests {
		return nil, errors.Errorf("%d keys are more than the %d that a customer may have", len(digests), maxDigests)
	}
	return digests, nil
}
