package document

import "github.com/goccy/go-yaml/ast"

// mappingEntries returns the entries of a mapping, or false for any other node.
func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	}
	return nil, false
}

func isNull(node ast.Node) bool {
	return node != nil && node.Type() == ast.NullType
}

func isScalar(node ast.Node) bool {
	switch node.(type) {
	case *ast.StringNode, *ast.LiteralNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return true
	}
	return false
}

// scalarText returns the text of a scalar as written in the document, without quotes.
func scalarText(node ast.Node) string {
	switch scalar := node.(type) {
	case *ast.StringNode:
		return scalar.Value
	case *ast.LiteralNode:
		return scalar.Value.Value
	}
	return node.GetToken().Value
}
