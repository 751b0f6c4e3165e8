package customer

// Directory finds customers by name and by key. It is immutable; the zero value and nil have no customers.
type Directory struct {
	byName   map[string]*Customer
	byDigest map[Digest]*Customer
}

// Entry is a customer with the digests of its keys.
type Entry struct {
	Customer *Customer
	Keys     []Digest
}

// NewDirectory returns a directory of the given customers.
func NewDirectory(entries []Entry) *Directory {
	d := &Directory{byName: make(map[string]*Customer, len(entries)), byDigest: make(map[Digest]*Customer, 2*len(entries))}
	for _, entry := range entries {
		d.byName[entry.Customer.Name] = entry.Customer
		for _, key := range entry.Keys {
			d.byDigest[key] = entry.Customer
		}
	}
	return d
}

// ByKey returns the customer that holds a key, nil if there is none.
func (d *Directory) ByKey(key string) *Customer {
	if d == nil || key == "" {
		return nil
	}
	return d.byDigest[DigestOf(key)]
}

// ByName returns a customer, nil if there is none.
func (d *Directory) ByName(name string) *Customer {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Len returns the number of customers.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
