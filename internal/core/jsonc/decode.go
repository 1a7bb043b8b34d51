// Package jsonc decodes JSON with comments into structs. Unlike encoding/json, it is strict and reports every problem
// with its line, not only the first one.
package jsonc

import (
	"fmt"
	"math"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is an error in a document.
type Problem struct {
	Line    int    // from 1
	Field   string // dotted path below the decoded value; empty for the value itself
	Message string
}

// Document is a parsed document that can report the line of each value.
type Document struct {
	Root hujson.Value
	// lineStarts holds the offset of each line except the first.
	lineStarts []int
}

// Parse parses data and reports syntax errors.
func Parse(data []byte) (Document, []Problem) {
	root, err := hujson.Parse(data)
	if err != nil {
		line, message := 1, strings.TrimPrefix(err.Error(), "hujson: ")
		var column int
		if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 {
			_, message, _ = strings.Cut(message, ": ")
		}
		return Document{}, []Problem{{Line: line, Message: "syntax error: " + message}}
	}
	d := Document{Root: root}
	for offset, c := range data {
		if c == '\n' {
			d.lineStarts = append(d.lineStarts, offset+1)
		}
	}
	return d, nil
}

// Line returns the line at which v starts.
func (d Document) Line(v hujson.Value) int {
	return 1 + sort.Search(len(d.lineStarts), func(i int) bool { return d.lineStarts[i] > v.StartOffset })
}

// Member returns the value of the object member with the given name.
func Member(v hujson.Value, name string) (hujson.Value, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return hujson.Value{}, false
	}
	for _, m := range object.Members {
		if stringOrEmpty(m.Name) == name {
			return m.Value, true
		}
	}
	return hujson.Value{}, false
}

// StringValue returns the content of a string value.
func StringValue(v hujson.Value) (string, bool) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return "", false
	}
	return l.String(), true
}

// MemberLines returns the line of each member of an object.
func (d Document) MemberLines(v hujson.Value) map[string]int {
	lines := map[string]int{}
	if object, ok := v.Value.(*hujson.Object); ok {
		for _, m := range object.Members {
			lines[stringOrEmpty(m.Name)] = d.Line(m.Name)
		}
	}
	return lines
}

// Decode stores v in the struct that target points to. Fields that v doesn't contain keep their values. Fields of
// embedded structs are decoded as fields of the outer struct.
func (d Document) Decode(v hujson.Value, target any) []Problem {
	c := decoder{document: d}
	c.decodeValue(v, reflect.ValueOf(target).Elem(), "")
	return c.problems
}

type decoder struct {
	document Document
	problems []Problem
}

func (c *decoder) report(v hujson.Value, path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Line: c.document.Line(v), Field: path, Message: fmt.Sprintf(format, args...)})
}

func (c *decoder) decodeValue(v hujson.Value, target reflect.Value, path string) {
	switch target.Kind() {
	case reflect.Pointer:
		element := reflect.New(target.Type().Elem())
		before := len(c.problems)
		c.decodeValue(v, element.Elem(), path)
		if len(c.problems) == before {
			target.Set(element)
		}
	case reflect.Struct:
		c.decodeObject(v, target, path)
	case reflect.Slice:
		c.decodeArray(v, target, path)
	case reflect.String:
		if text, ok := StringValue(v); ok {
			target.SetString(text)
		} else {
			c.report(v, path, "%smust be a string, not %s", pathPrefix(path), describe(v))
		}
	case reflect.Bool:
		if l, ok := v.Value.(hujson.Literal); ok && (l.Kind() == 't' || l.Kind() == 'f') {
			target.SetBool(l.Bool())
		} else {
			c.report(v, path, "%smust be true or false, not %s", pathPrefix(path), describe(v))
		}
	case reflect.Int32, reflect.Int64:
		c.decodeInteger(v, target, path)
	case reflect.Float64:
		c.decodeFloat(v, target, path)
	default:
		panic("jsonc: unsupported type " + target.Type().String())
	}
}

func (c *decoder) decodeInteger(v hujson.Value, target reflect.Value, path string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' {
		c.report(v, path, "%smust be %s, not %s", pathPrefix(path), integerDescription(path), describe(v))
		return
	}
	n, err := strconv.ParseInt(string(l), 10, target.Type().Bits())
	if err != nil {
		if strings.ContainsAny(string(l), ".eE") {
			c.report(v, path, "%smust be %s, not %s", pathPrefix(path), integerDescription(path), l)
		} else {
			c.report(v, path, "%s%s is out of range", pathPrefix(path), l)
		}
		return
	}
	target.SetInt(n)
}

func (c *decoder) decodeFloat(v hujson.Value, target reflect.Value, path string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' {
		c.report(v, path, "%smust be a number, not %s", pathPrefix(path), describe(v))
		return
	}
	f, err := strconv.ParseFloat(string(l), 64)
	if err != nil || math.IsInf(f, 0) {
		c.report(v, path, "%s%s is out of range", pathPrefix(path), l)
		return
	}
	target.SetFloat(f)
}

func (c *decoder) decodeArray(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		c.report(v, path, "%smust be a list, not %s", pathPrefix(path), describe(v))
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		c.decodeValue(element, slice.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(slice)
}

func (c *decoder) decodeObject(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		c.report(v, path, "%smust be an object, not %s", pathPrefix(path), describe(v))
		return
	}
	fields := map[string]reflect.Value{}
	names := collectFields(target, fields, nil)
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := stringOrEmpty(m.Name)
		memberPath := joinPath(path, name)
		field, known := fields[name]
		switch {
		case !known:
			c.report(m.Name, memberPath, "unknown field %q%s", memberPath, Suggestion(name, names))
		case seen[name]:
			c.report(m.Name, memberPath, "field %q occurs twice", memberPath)
		default:
			c.decodeValue(m.Value, field, memberPath)
		}
		seen[name] = true
	}
}

func collectFields(target reflect.Value, fields map[string]reflect.Value, names []string) []string {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if field.Anonymous {
			names = collectFields(target.Field(i), fields, names)
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || name == "" || name == "-" {
			continue
		}
		fields[name] = target.Field(i)
		names = append(names, name)
	}
	return names
}

// unitSuffixes maps the suffixes of field names to the units that messages name.
var unitSuffixes = []struct{ suffix, unit string }{
	{"_ms", "milliseconds"}, {"_mb", "megabytes"}, {"_cpu", "thousandths of a core"}, {"_percent", "percent"},
}

func integerDescription(path string) string {
	for _, u := range unitSuffixes {
		if strings.HasSuffix(path, u.suffix) {
			return "a whole number of " + u.unit
		}
	}
	return "a whole number"
}

func describe(v hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		if value.Kind() == '"' {
			return "the string " + string(value)
		}
		return string(value)
	}
	return "nothing"
}

func stringOrEmpty(v hujson.Value) string {
	text, _ := StringValue(v)
	return text
}

func pathPrefix(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
