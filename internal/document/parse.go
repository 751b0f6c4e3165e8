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

// Parse parses a document. The file name is used only in positions. Parse returns either a document or a list of all
// problems that it can detect; the other result is nil.
func Parse(file string, data []byte) (*Document, []Problem) {
	r := &reader{file: file}
	root, problem := r.parseRoot(data)
	if problem != nil {
		return nil, []Problem{*problem}
	}
	doc := r.readDocument(root)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return doc, nil
}

// reader parses one document and collects its problems.
type reader struct {
	file     string
	problems []Problem
}

func (r *reader) parseRoot(data []byte) (ast.Node, *Problem) {
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

func (r *reader) readDocument(root ast.Node) *Document {
	doc := &Document{}
	entries, ok := mappingEntries(root)
	if !ok {
		r.addProblem(root, "", "", "the document must be a mapping with the key branches")
		return doc
	}
	found := false
	for _, entry := range entries {
		if key := scalarText(entry.Key); key != branchesKey {
			r.addProblem(entry.Key, "", "", fmt.Sprintf("unknown key %q; the only top-level key is branches", key))
			continue
		}
		found = true
		doc.Branches = r.readBranches(entry.Value)
	}
	if !found {
		r.addProblem(root, "", "", "the key branches is missing")
	}
	return doc
}

func (r *reader) readBranches(node ast.Node) []Branch {
	entries, ok := mappingEntries(node)
	if !ok {
		r.addProblem(node, "", "", "branches must map paths to settings")
		return nil
	}
	var list []Branch
	seen := map[tree.Path]bool{}
	for _, entry := range entries {
		text := scalarText(entry.Key)
		path, err := tree.ParsePath(text)
		if err != nil {
			r.addProblem(entry.Key, "", "", err.Error())
			continue
		}
		if seen[path] {
			r.addProblem(entry.Key, text, "", "the document names this branch twice")
			continue
		}
		seen[path] = true
		list = append(list, r.readBranch(entry, path))
	}
	return list
}

func (r *reader) readBranch(entry *ast.MappingValueNode, path tree.Path) Branch {
	branch := Branch{Position: positionOf(r.file, entry.Key), Path: path}
	if isNull(entry.Value) {
		branch.Remove = true
		return branch
	}
	entries, ok := mappingEntries(entry.Value)
	if !ok {
		r.addProblem(entry.Value, path.String(), "", "a branch must map keys to values, or be null to remove it")
		return branch
	}
	for _, setting := range entries {
		if read, ok := r.readSetting(setting, path); ok {
			branch.Settings = append(branch.Settings, read)
		}
	}
	return branch
}

func (r *reader) readSetting(entry *ast.MappingValueNode, path tree.Path) (Setting, bool) {
	key := scalarText(entry.Key)
	setting := Setting{Position: positionOf(r.file, entry.Key), Key: key}
	spec, known := tree.SpecOf(key)
	if !known {
		r.addProblem(entry.Key, path.String(), key, "unknown key")
		return setting, false
	}
	if isNull(entry.Value) {
		setting.Unset = true
		return setting, true
	}
	if !isScalar(entry.Value) {
		r.addProblem(entry.Value, path.String(), key, "the value must be a single value, or null to unset it")
		return setting, false
	}
	canonical, err := spec.Canonical(scalarText(entry.Value))
	if err != nil {
		r.addProblem(entry.Value, path.String(), key, err.Error())
		return setting, false
	}
	setting.Value = canonical
	return setting, true
}

func (r *reader) addProblem(node ast.Node, path, key, message string) {
	problem := Problem{Position: positionOf(r.file, node), Path: path, Key: key, Message: message}
	r.problems = append(r.problems, problem)
}
