package document

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
)

// Position is a position in a document. Lines and columns are numbered from 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position as file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

func positionOf(file string, node ast.Node) Position {
	position := Position{File: file, Line: 1, Column: 1}
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return position
	}
	position.Line = node.GetToken().Position.Line
	position.Column = node.GetToken().Position.Column
	return position
}
