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

const maxDocumentBytes = 8 << 20

var durationType = reflect.TypeFor[time.Duration]()

// document is a YAML document that is being decoded and validated.
type document struct {
	file string
	// positions maps paths of values, such as "services[0].route", to their positions.
	positions map[string]token.Position
	problems  Problems
	// unreadable reports that nothing of the document was decoded.
	unreadable bool
	// decoderProblems is the number of leading problems that the decoder found. The
	// values at and below their paths were not decoded, so validation must skip them.
	decoderProblems int
}

// decode decodes content into target and records a problem for each value that does not fit.
func decode(file string, content []byte, target any) *document {
	d := &document{
		file:       file,
		positions:  make(map[string]token.Position),
		unreadable: true,
	}
	if len(content) > maxDocumentBytes {
		d.report("document", fmt.Sprintf("%d bytes", len(content)),
			fmt.Sprintf("at most %d bytes", maxDocumentBytes), "split the deployment")
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
	d.decodeValue("", tree.Docs[0].Body, reflect.ValueOf(target).Elem())
	d.decoderProblems = len(d.problems)
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
	if asSyntaxError(err, &syntax) {
		problem.Line = syntax.Token.Position.Line
		problem.Column = syntax.Token.Position.Column
		problem.Value = syntax.Message
	}
	d.problems = append(d.problems, problem)
}

// report records a problem at the position of path or of its nearest known parent.
// Problems with values that could not be decoded are dropped.
func (d *document) report(path, value, allowed, remedy string) {
	if d.isUndecodable(path) {
		return
	}
	position := d.position(path)
	d.problems = append(d.problems, &Problem{
		File:    d.file,
		Line:    position.Line,
		Column:  position.Column,
		Path:    path,
		Value:   value,
		Allowed: allowed,
		Remedy:  remedy,
	})
}

// isUndecodable reports whether the decoder rejected the value at path or one that contains it.
func (d *document) isUndecodable(path string) bool {
	return slices.ContainsFunc(d.problems[:d.decoderProblems], func(problem *Problem) bool {
		rest, hasPrefix := strings.CutPrefix(path, problem.Path)
		return hasPrefix && (rest == "" || problem.Path == "" || rest[0] == '.' || rest[0] == '[')
	})
}

func (d *document) position(path string) token.Position {
	for path != "" {
		if position, known := d.positions[path]; known {
			return position
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return token.Position{
		Line:   1,
		Column: 1,
	}
}

func (d *document) decodeValue(path string, node ast.Node, target reflect.Value) {
	if tag, tagged := node.(*ast.TagNode); tagged {
		node = tag.Value
	}
	d.positions[path] = *node.GetToken().Position
	switch {
	case target.Type() == durationType:
		d.decodeDuration(path, node, target)
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(path, node, target.Elem())
	case target.Kind() == reflect.Struct:
		d.decodeStruct(path, node, target)
	case target.Kind() == reflect.Slice:
		d.decodeSlice(path, node, target)
	default:
		d.decodeScalar(path, node, target)
	}
}

func (d *document) decodeStruct(path string, node ast.Node, target reflect.Value) {
	pairs, ok := mappingPairs(node)
	if !ok {
		d.report(path, nodeText(node), "a mapping", "indent its keys below it")
		return
	}
	fields := fieldsByKey(target)
	seen := make(map[string]bool)
	for _, pair := range pairs {
		key := pair.Key.GetToken().Value
		fieldPath := joinPath(path, key)
		field, known := fields[key]
		switch {
		case !known:
			d.positions[fieldPath] = *pair.Key.GetToken().Position
			d.report(fieldPath, key, "one of the keys "+keyList(target.Type()), "correct or remove the key")
		case seen[key]:
			d.positions[fieldPath] = *pair.Key.GetToken().Position
			d.report(fieldPath, key, "each key once", "remove the second one")
		default:
			d.decodeValue(fieldPath, pair.Value, field)
		}
		seen[key] = true
	}
}

func (d *document) decodeSlice(path string, node ast.Node, target reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.report(path, nodeText(node), "a list", "begin each item with '- '")
		return
	}
	items := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, value := range sequence.Values {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), value, items.Index(i))
	}
	target.Set(items)
}

func (d *document) decodeDuration(path string, node ast.Node, target reflect.Value) {
	parsed, err := time.ParseDuration(nodeText(node))
	if err != nil || parsed < 0 {
		d.report(path, nodeText(node), "a duration such as 500ms, 2s or 1m30s", "write the number with its unit")
		return
	}
	target.SetInt(int64(parsed))
}

func (d *document) decodeScalar(path string, node ast.Node, target reflect.Value) {
	value := nodeText(node)
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
		panic("parser: unsupported field kind " + target.Kind().String())
	}
}

func mappingPairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
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

func nodeText(node ast.Node) string {
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

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
