package document

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"

	"samphireflow/internal/tree"
)

const branchesKey = "branches"

// Parse reads a document. The file name is used in positions only. Either the document or the list of problems
// is nil: a document with any problem is not returned, and all problems that can be told apart are listed.
func Parse(file string, data []byte) (*Document, []Problem) {
	r := &reader{file: file}
	root, problem := r.root(data)
	if problem != nil {
		return nil, []Problem{*problem}
	}
	doc := r.document(root)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return doc, nil
}

// reader collects the problems of one document.
type reader struct {
	file     string
	problems []Problem
}

func (r *reader) root(data []byte) (ast.Node, *Problem) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		problem := r.syntaxProblem(err)
		return nil, &problem
	}
	first := Position{File: r.file, Line: 1, Column: 1}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return nil, &Problem{Position: first, Message: "the document is empty"}
	}
	if len(file.Docs) > 1 {
		return nil, &Problem{Position: positionOf(r.file, file.Docs[1].Body), Message: "the file holds more than one document"}
	}
	return file.Docs[0].Body, nil
}

func (r *reader) syntaxProblem(err error) Problem {
	problem := Problem{Position: Position{File: r.file, Line: 1, Column: 1}, Message: err.Error()}
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		problem.Position.Line = syntax.Token.Position.Line
		problem.Position.Column = syntax.Token.Position.Column
		problem.Message = syntax.Message
	}
	return problem
}

func (r *reader) document(root ast.Node) *Document {
	doc := &Document{}
	entries, ok := mappingOf(root)
	if !ok {
		r.add(root, "", "", "the document must be a mapping with the key branches")
		return doc
	}
	found := false
	for _, entry := range entries {
		if key := scalarText(entry.Key); key != branchesKey {
			r.add(entry.Key, "", "", fmt.Sprintf("unknown key %q; the only top-level key is branches", key))
			continue
		}
		found = true
		doc.Branches = r.branches(entry.Value)
	}
	if !found {
		r.add(root, "", "", "the key branches is missing")
	}
	return doc
}

func (r *reader) branches(node ast.Node) []Branch {
	entries, ok := mappingOf(node)
	if !ok {
		r.add(node, "", "", "branches must map paths to settings")
		return nil
	}
	var list []Branch
	seen := map[tree.Path]bool{}
	for _, entry := range entries {
		text := scalarText(entry.Key)
		path, err := tree.ParsePath(text)
		if err != nil {
			r.add(entry.Key, "", "", err.Error())
			continue
		}
		if seen[path] {
			r.add(entry.Key, text, "", "the document names this branch twice")
			continue
		}
		seen[path] = true
		list = append(list, r.branch(entry, path))
	}
	return list
}

func (r *reader) branch(entry *ast.MappingValueNode, path tree.Path) Branch {
	branch := Branch{Position: positionOf(r.file, entry.Key), Path: path}
	if isNull(entry.Value) {
		branch.Remove = true
		return branch
	}
	entries, ok := mappingOf(entry.Value)
	if !ok {
		r.add(entry.Value, path.String(), "", "a branch must map keys to values, or be null to remove it")
		return branch
	}
	for _, setting := range entries {
		if read, ok := r.setting(setting, path); ok {
			branch.Settings = append(branch.Settings, read)
		}
	}
	return branch
}

func (r *reader) setting(entry *ast.MappingValueNode, path tree.Path) (Setting, bool) {
	key := scalarText(entry.Key)
	setting := Setting{Position: positionOf(r.file, entry.Key), Key: key}
	spec, known := tree.SpecOf(key)
	if !known {
		r.add(entry.Key, path.String(), key, "unknown key")
		return setting, false
	}
	if isNull(entry.Value) {
		setting.Unset = true
		return setting, true
	}
	if !isScalar(entry.Value) {
		r.add(entry.Value, path.String(), key, "the value must be a single value, or null to unset it")
		return setting, false
	}
	canonical, err := spec.Canonical(scalarText(entry.Value))
	if err != nil {
		r.add(entry.Value, path.String(), key, err.Error())
		return setting, false
	}
	setting.Value = canonical
	return setting, true
}

func (r *reader) add(node ast.Node, path, key, message string) {
	problem := Problem{Position: positionOf(r.file, node), Path: path, Key: key, Message: message}
	r.problems = append(r.problems, problem)
}
