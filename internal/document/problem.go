package document

// Problem is one reason why a document is invalid.
type Problem struct {
	Position Position
	// Path and Key are empty if the problem does not concern a branch or a setting.
	Path    string
	Key     string
	Message string
}

// String returns the problem as one line, starting with its position.
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
