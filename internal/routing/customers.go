package routing

import (
	"strings"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/customer"
	"samphireflow/internal/tree"
)

// customerSet holds the customers of a snapshot. It is immutable.
type customerSet struct {
	// configs is the list of which the set was made.
	configs   []*apiv1.CustomerConfig
	directory *customer.Directory
}

// next returns the customers of a snapshot. It takes over the set if no customer has changed.
func (s *customerSet) next(configs []*apiv1.CustomerConfig) *customerSet {
	if s != nil && sameList(s.configs, configs) {
		return s
	}
	entries := make([]customer.Entry, 0, len(configs))
	for _, config := range configs {
		entries = append(entries, parseCustomer(config))
	}
	return &customerSet{configs: configs, directory: customer.NewDirectory(entries)}
}

func parseCustomer(config *apiv1.CustomerConfig) customer.Entry {
	v := readValues(config.Settings)
	_, hasPriority := v[tree.KeyCustomerPriority]
	entry := customer.Entry{Customer: &customer.Customer{
		Name:        config.Name,
		Priority:    v.integer(tree.KeyCustomerPriority),
		HasPriority: hasPriority,
		Rate:        v.float(tree.KeyCustomerRate),
		Burst:       v.float(tree.KeyCustomerBurst),
	}}
	for _, text := range strings.Fields(v[tree.KeyCustomerKeyDigests]) {
		if digest, ok := customer.ParseDigest(text); ok {
			entry.Keys = append(entry.Keys, digest)
		}
	}
	return entry
}
