package parser

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxDocument bounds a document's size in bytes.
const maxDocument = 8 << 20

var durationType = reflect.TypeFor[time.Duration]()

// document is a YAML document under decoding with the places of its values.
type document struct {
	file     string
	places   map[string]token.Position
	problems Problems
	// unreadable says that nothing of the document was decoded.
	unreadable bool
	// decoded is how many of the problems the decoder found; a value below one
	// of these places was never read, so that validation must not judge it.
	decoded int
}

// decode fills target from content and reports everything that does not fit.
func decode(file string, content []byte, target any) *document {
	d := &document{
		file:       file,
		places:     make(map[string]token.Position),
		unreadable: true,
	}
	if len(content) > maxDocument {
		d.report("document", fmt.Sprintf("%d bytes", len(content)),
			fmt.Sprintf("at most %d bytes", maxDocument), "split the deployment")
		return d
	}
	tree, err := yamlparser.ParseBytes(content, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		d.reportSyntax(err)
		return d
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		d.report("document", fmt.Sprintf("%d documents", len(tree.Docs)),
			"exactly one document that is not empty", "write one document in the file")
		return d
	}
	d.unreadable = false
	d.fill("", tree.Docs[0].Body, reflect.ValueOf(target).Elem())
	d.decoded = len(d.problems)
	return d
}

func (d *document) reportSyntax(err error) {
	problem := &Problem{
		File:    d.file,
		Line:    1,
		Column:  1,
		Path:    "document",
		Allowed: "well-formed YAML",
		Remedy:  "correct the syntax",
	}
	var syntax *yaml.SyntaxError
	if asSyntax(err, &syntax) {
		problem.Line = syntax.Token.Position.Line
		problem.Column = syntax.Token.Position.Column
		problem.Value = syntax.Message
	}
	d.problems = append(d.problems, problem)
}

// report adds a problem at the place of path or of its nearest parent.
func (d *document) report(path, value, allowed, remedy string) {
	if d.misread(path) {
		return
	}
	place := d.place(path)
	d.problems = append(d.problems, &Problem{
		File:    d.file,
		Line:    place.Line,
		Column:  place.Column,
		Path:    path,
		Value:   value,
		Allowed: allowed,
		Remedy:  remedy,
	})
}

// misread reports whether the decoder refused the value at path or around it.
func (d *document) misread(path string) bool {
	return slices.ContainsFunc(d.problems[:d.decoded], func(problem *Problem) bool {
		rest, below := strings.CutPrefix(path, problem.Path)
		return below && (rest == "" || problem.Path == "" || rest[0] == '.' || rest[0] == '[')
	})
}

func (d *document) place(path string) token.Position {
	for path != "" {
		if place, known := d.places[path]; known {
			return place
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return token.Position{
		Line:   1,
		Column: 1,
	}
}

func (d *document) fill(path string, node ast.Node, target reflect.Value) {
	if tag, tagged := node.(*ast.TagNode); tagged {
		node = tag.Value
	}
	d.places[path] = *node.GetToken().Position
	switch {
	case target.Type() == durationType:
		d.fillDuration(path, node, target)
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.fill(path, node, target.Elem())
	case target.Kind() == reflect.Struct:
		d.fillStruct(path, node, target)
	case target.Kind() == reflect.Slice:
		d.fillSlice(path, node, target)
	default:
		d.fillScalar(path, node, target)
	}
}

func (d *document) fillStruct(path string, node ast.Node, target reflect.Value) {
	pairs, ok := mapping(node)
	if !ok {
		d.report(path, text(node), "a mapping", "indent its keys below it")
		return
	}
	fields := fieldsByKey(target)
	seen := make(map[string]bool)
	for _, pair := range pairs {
		key := pair.Key.GetToken().Value
		inner := join(path, key)
		field, known := fields[key]
		switch {
		case !known:
			d.places[inner] = *pair.Key.GetToken().Position
			d.report(inner, key, "one of the keys "+keyList(target.Type()), "correct or remove the key")
		case seen[key]:
			d.places[inner] = *pair.Key.GetToken().Position
			d.report(inner, key, "each key once", "remove the second one")
		default:
			d.fill(inner, pair.Value, field)
		}
		seen[key] = true
	}
}

func (d *document) fillSlice(path string, node ast.Node, target reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.report(path, text(node), "a list", "begin each item with '- '")
		return
	}
	items := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, value := range sequence.Values {
		d.fill(fmt.Sprintf("%s[%d]", path, i), value, items.Index(i))
	}
	target.Set(items)
}

func (d *document) fillDuration(path string, node ast.Node, target reflect.Value) {
	parsed, err := time.ParseDuration(text(node))
	if err != nil || parsed < 0 {
		d.report(path, text(node), "a duration such as 500ms, 2s or 1m30s", "write the number with its unit")
		return
	}
	target.SetInt(int64(parsed))
}

func (d *document) fillScalar(path string, node ast.Node, target reflect.Value) {
	value := text(node)
	if _, scalar := node.(ast.ScalarNode); !scalar {
		d.report(path, value, "a single value", "write the value on the key's line")
		return
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(value)
	case reflect.Bool:
		parsed, err := strconv.ParseBool(value)
		if err != nil {
			d.report(path, value, "true or false", "write one of the two")
			return
		}
		target.SetBool(parsed)
	case reflect.Int, reflect.Int64:
		parsed, err := strconv.ParseInt(value, 10, 64)
		if err != nil || parsed < 0 {
			d.report(path, value, "a whole number from 0", "write it in digits")
			return
		}
		target.SetInt(parsed)
	case reflect.Uint64:
		parsed, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			d.report(path, value, "a whole number from 0", "write it in digits")
			return
		}
		target.SetUint(parsed)
	case reflect.Float64:
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil || parsed < 0 || math.IsNaN(parsed) || math.IsInf(parsed, 0) {
			d.report(path, value, "a number from 0", "write it in digits")
			return
		}
		target.SetFloat(parsed)
	default:
		panic("parser: no rule for a field of kind " + target.Kind().String())
	}
}

func mapping(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func fieldsByKey(target reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range target.NumField() {
		fields[target.Type().Field(i).Tag.Get("yaml")] = target.Field(i)
	}
	return fields
}

func keyList(target reflect.Type) string {
	keys := make([]string, 0, target.NumField())
	for i := range target.NumField() {
		keys = append(keys, target.Field(i).Tag.Get("yaml"))
	}
	return strings.Join(keys, ", ")
}

func text(node ast.Node) string {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value
	case *ast.LiteralNode:
		return n.Value.Value
	case *ast.NullNode:
		return ""
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	}
	return node.GetToken().Value
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
