package customer

// HasLimited reports whether any customer has a quota.
func (d *Directory) HasLimited() bool {
	if d == nil {
		return false
	}
	for _, c := range d.byName {
		if c.Limited() {
			return true
		}
	}
	return false
}
