package tree

// EvacuatedDomains returns the failure domains whose backend servers get no calls, sorted.
func (t *Tree) EvacuatedDomains() []string {
	var domains []string
	for _, branch := range t.AtLevel(LevelSite) {
		if branch.Evacuated() {
			domains = append(domains, branch.Path.Site)
		}
	}
	return domains
}

// Evacuated reports whether the branch, which may be nil, is that of an evacuated failure domain.
func (b *Branch) Evacuated() bool {
	if b == nil {
		return false
	}
	value, _ := b.Get(KeySiteEvacuated)
	return value == "true"
}
