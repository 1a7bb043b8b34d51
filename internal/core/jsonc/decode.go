// Package jsonc decodes JSON with comments into structs. In contrast to encoding/json it is strict and reports every
// problem with its line, not only the first.
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

// Problem is a fault in a document.
type Problem struct {
	Line    int    // from 1
	Field   string // dotted path below the decoded value; empty for the value itself
	Message string
}

// Document is a parsed document that can tell the lines of its values.
type Document struct {
	Root hujson.Value
	// starts holds the offset of each line but the first.
	starts []int
}

// Parse reads the syntax of data.
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
			d.starts = append(d.starts, offset+1)
		}
	}
	return d, nil
}

// Line returns the line at which v starts.
func (d Document) Line(v hujson.Value) int {
	return 1 + sort.Search(len(d.starts), func(i int) bool { return d.starts[i] > v.StartOffset })
}

// Member returns the value of an object's member.
func Member(v hujson.Value, name string) (hujson.Value, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return hujson.Value{}, false
	}
	for _, m := range object.Members {
		if literal(m.Name) == name {
			return m.Value, true
		}
	}
	return hujson.Value{}, false
}

// Text returns the content of a string value.
func Text(v hujson.Value) (string, bool) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return "", false
	}
	return l.String(), true
}

// Lines returns the line of each member of an object.
func (d Document) Lines(v hujson.Value) map[string]int {
	lines := map[string]int{}
	if object, ok := v.Value.(*hujson.Object); ok {
		for _, m := range object.Members {
			lines[literal(m.Name)] = d.Line(m.Name)
		}
	}
	return lines
}

// Decode stores v in the struct that target points to. Fields without a member keep their values. Embedded structs
// are part of the struct that embeds them.
func (d Document) Decode(v hujson.Value, target any) []Problem {
	c := decoder{document: d}
	c.value(v, reflect.ValueOf(target).Elem(), "")
	return c.problems
}

type decoder struct {
	document Document
	problems []Problem
}

func (c *decoder) report(v hujson.Value, path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Line: c.document.Line(v), Field: path, Message: fmt.Sprintf(format, args...)})
}

func (c *decoder) value(v hujson.Value, target reflect.Value, path string) {
	switch target.Kind() {
	case reflect.Pointer:
		fresh := reflect.New(target.Type().Elem())
		before := len(c.problems)
		c.value(v, fresh.Elem(), path)
		if len(c.problems) == before {
			target.Set(fresh)
		}
	case reflect.Struct:
		c.object(v, target, path)
	case reflect.Slice:
		c.array(v, target, path)
	case reflect.String:
		if text, ok := Text(v); ok {
			target.SetString(text)
		} else {
			c.report(v, path, "%smust be a string, not %s", prefix(path), describe(v))
		}
	case reflect.Bool:
		if l, ok := v.Value.(hujson.Literal); ok && (l.Kind() == 't' || l.Kind() == 'f') {
			target.SetBool(l.Bool())
		} else {
			c.report(v, path, "%smust be true or false, not %s", prefix(path), describe(v))
		}
	case reflect.Int32, reflect.Int64:
		c.integer(v, target, path)
	case reflect.Float64:
		c.float(v, target, path)
	default:
		panic("jsonc: unsupported type " + target.Type().String())
	}
}

func (c *decoder) integer(v hujson.Value, target reflect.Value, path string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' {
		c.report(v, path, "%smust be %s, not %s", prefix(path), wholeNumber(path), describe(v))
		return
	}
	n, err := strconv.ParseInt(string(l), 10, target.Type().Bits())
	if err != nil {
		if strings.ContainsAny(string(l), ".eE") {
			c.report(v, path, "%smust be %s, not %s", prefix(path), wholeNumber(path), l)
		} else {
			c.report(v, path, "%s%s is out of range", prefix(path), l)
		}
		return
	}
	target.SetInt(n)
}

func (c *decoder) float(v hujson.Value, target reflect.Value, path string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '0' {
		c.report(v, path, "%smust be a number, not %s", prefix(path), describe(v))
		return
	}
	f, err := strconv.ParseFloat(string(l), 64)
	if err != nil || math.IsInf(f, 0) {
		c.report(v, path, "%s%s is out of range", prefix(path), l)
		return
	}
	target.SetFloat(f)
}

func (c *decoder) array(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		c.report(v, path, "%smust be a list, not %s", prefix(path), describe(v))
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		c.value(element, slice.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(slice)
}

func (c *decoder) object(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		c.report(v, path, "%smust be an object, not %s", prefix(path), describe(v))
		return
	}
	fields := map[string]reflect.Value{}
	names := collect(target, fields, nil)
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := literal(m.Name)
		at := join(path, name)
		field, known := fields[name]
		switch {
		case !known:
			c.report(m.Name, at, "unknown field %q%s", at, Suggestion(name, names))
		case seen[name]:
			c.report(m.Name, at, "field %q occurs twice", at)
		default:
			c.value(m.Value, field, at)
		}
		seen[name] = true
	}
}

func collect(target reflect.Value, fields map[string]reflect.Value, names []string) []string {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		if field.Anonymous {
			names = collect(target.Field(i), fields, names)
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

// units maps the endings of field names to the units that messages name.
var units = []struct{ ending, unit string }{
	{"_ms", "milliseconds"}, {"_mb", "megabytes"}, {"_cpu", "thousandths of a core"}, {"_percent", "percent"},
}

func wholeNumber(path string) string {
	for _, u := range units {
		if strings.HasSuffix(path, u.ending) {
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

func literal(v hujson.Value) string {
	text, _ := Text(v)
	return text
}

func prefix(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
