package document

// Problem is one reason for which a document cannot be used.
type Problem struct {
	Position Position
	// Path and Key are empty where the problem is not about a branch or a setting.
	Path    string
	Key     string
	Message string
}

// String returns the problem in one line that starts with its position.
func (p Problem) String() string {
	text := p.Position.String() + ": "
	if p.Path != "" {
		text += p.Path + ": "
	}
	if p.Key != "" {
		text += p.Key + ": "
	}
	return text + p.Message
}
