package object

import (
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/tailscale/hujson"

	"sequoiastall/internal/core/jsonc"
)

// occurrence identifies an object of a parsed set, even if several objects have the same kind and name.
type occurrence struct {
	kind  Kind
	name  string
	index int // from 0, in the order of the sorted set
}

// origin is the location of an object in the configuration files.
type origin struct {
	file          string
	line          int
	fieldLines    map[string]int  // line of each field
	invalidFields map[string]bool // fields with a problem that was already reported
}

// Error formats a problem the way compilers do: file:line: kind "name": message.
func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
		if p.Line > 0 {
			fmt.Fprintf(&b, "%d:", p.Line)
		}
		b.WriteString(" ")
	}
	if p.Kind != "" {
		b.WriteString(string(p.Kind))
		if p.Name != "" {
			fmt.Fprintf(&b, " %q", p.Name)
		}
		b.WriteString(": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Validate parses the files and checks the set as a whole. It returns all problems, sorted by file and line; a set
// without problems can be applied.
func Validate(files []File) (Set, []Problem) {
	set, problems := Parse(files)
	problems = append(problems, set.Check()...)
	sortProblems(problems)
	return set, problems
}

// Parse reads the configuration files, each of which holds one object or a list of objects. It reports problems of
// single objects; Check reports those of the set as a whole. An object with a problem stays in the set with the fields
// that could be read, so that references to it aren't reported as well.
func Parse(files []File) (Set, []Problem) {
	var p parser
	for _, file := range files {
		p.parseFile(file)
	}
	p.set.sort()
	p.assignOrigins()
	sortProblems(p.problems)
	return p.set, p.problems
}

type parser struct {
	set         Set
	problems    []Problem
	cellOrigins []origin
	objects     []locatedObject
}

// quotedText matches the quoted strings in text that couldn't be parsed.
var quotedText = regexp.MustCompile(`"([^"\n]*)"`)

// recordUnparsed records the quoted strings in text that couldn't be parsed. Each may be the name of an object, so
// references to these names aren't reported as dangling.
func (p *parser) recordUnparsed(text string) {
	if p.set.unparsed == nil {
		p.set.unparsed = map[string]bool{}
	}
	for _, match := range quotedText.FindAllStringSubmatch(text, -1) {
		p.set.unparsed[match[1]] = true
	}
}

type locatedObject struct {
	kind Kind
	name string
	origin
}

func (p *parser) parseFile(file File) {
	document, problems := jsonc.Parse(file.Data)
	for _, problem := range problems {
		p.problems = append(p.problems, Problem{File: file.Name, Line: problem.Line, Message: problem.Message})
	}
	if problems != nil {
		p.recordUnparsed(string(file.Data))
		return
	}
	if list, ok := document.Root.Value.(*hujson.Array); ok {
		for _, element := range list.Elements {
			p.parseObject(file.Name, document, element)
		}
		return
	}
	p.parseObject(file.Name, document, document.Root)
}

func (p *parser) parseObject(file string, document jsonc.Document, v hujson.Value) {
	line := document.Line(v)
	if _, ok := v.Value.(*hujson.Object); !ok {
		p.problems = append(p.problems, Problem{File: file, Line: line, Message: "expected an object or a list of objects"})
		return
	}
	kindValue, _ := jsonc.Member(v, "kind")
	nameValue, _ := jsonc.Member(v, "name")
	kind, hasKind := jsonc.StringValue(kindValue)
	name, _ := jsonc.StringValue(nameValue)
	if !hasKind {
		p.recordUnparsed(string(v.Pack()))
		p.problems = append(p.problems, Problem{File: file, Line: line, Name: name, Message: `field "kind" is missing or not a string`})
		return
	}
	target := newObject(Kind(kind))
	if target == nil {
		p.recordUnparsed(string(v.Pack()))
		p.problems = append(p.problems, Problem{File: file, Line: document.Line(kindValue), Name: name,
			Message: fmt.Sprintf("unknown kind %q%s", kind, jsonc.Suggestion(kind, kindNames()))})
		return
	}
	o := origin{file: file, line: line, fieldLines: document.MemberLines(v), invalidFields: map[string]bool{}}
	for _, problem := range document.Decode(v, target) {
		field, _, _ := strings.Cut(problem.Field, ".")
		field, _, _ = strings.Cut(field, "[")
		o.invalidFields[field] = true
		p.problems = append(p.problems, Problem{File: file, Line: problem.Line, Kind: Kind(kind), Name: name, Message: problem.Message})
	}
	p.addObject(target, Kind(kind), name, o)
}

func (p *parser) addObject(target any, kind Kind, name string, o origin) {
	s := &p.set
	switch t := target.(type) {
	case *Cell:
		if len(p.cellOrigins) > 0 {
			first := p.cellOrigins[0]
			p.problems = append(p.problems, Problem{File: o.file, Line: o.line, Kind: kind, Name: name,
				Message: fmt.Sprintf("a set has exactly one cell; the first is at %s:%d", first.file, first.line)})
			return
		}
		p.cellOrigins = append(p.cellOrigins, o)
		s.Cell = *t
	case *Zone:
		s.Zones = append(s.Zones, *t)
	case *Pool:
		if t.Label == "" && !o.invalidFields["label"] {
			t.Label = t.Name
		}
		s.Pools = append(s.Pools, *t)
	case *Team:
		s.Teams = append(s.Teams, *t)
	case *Key:
		s.Keys = append(s.Keys, *t)
	case *Queue:
		s.Queues = append(s.Queues, *t)
	case *Share:
		s.Shares = append(s.Shares, *t)
	case *Limit:
		s.Limits = append(s.Limits, *t)
	case *Service:
		if _, given := o.fieldLines["resources"]; !given || t.Resources.Slots == 0 && !o.invalidFields["resources"] {
			t.Resources.Slots = int64(t.Concurrency)
		}
		s.Services = append(s.Services, *t)
	case *RetryPolicy:
		s.RetryPolicies = append(s.RetryPolicies, *t)
	}
	p.objects = append(p.objects, locatedObject{kind: kind, name: name, origin: o})
}

// assignOrigins stores the origin of each object under its occurrence. Sorting is stable, so the n-th object of a name
// in the files is the n-th in the set.
func (p *parser) assignOrigins() {
	p.set.origins = map[occurrence]origin{}
	count := map[occurrence]int{}
	for _, l := range p.objects {
		k := occurrence{kind: l.kind, name: l.name}
		k.index, count[k] = count[k], count[k]+1
		p.set.origins[k] = l.origin
	}
}

// newObject returns a pointer to an object of a kind with default field values, nil for an unknown kind.
func newObject(kind Kind) any {
	switch kind {
	case KindCell:
		return &Cell{PartitionsPerZone: 1, Policy: Policy{Packing: 1, Share: 1, Waiting: 1}}
	case KindZone:
		return &Zone{}
	case KindPool:
		return &Pool{}
	case KindTeam:
		return &Team{}
	case KindKey:
		return &Key{}
	case KindQueue:
		return &Queue{Priority: Normal}
	case KindShare:
		return &Share{}
	case KindLimit:
		return &Limit{}
	case KindService:
		return &Service{}
	case KindRetryPolicy:
		return &RetryPolicy{BudgetPercent: DefaultBudgetPercent}
	}
	return nil
}

func kindNames() []string {
	var names []string
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return names
}

// sort puts a set into canonical order.
func (s *Set) sort() {
	byName := func(a, b Meta) int { return strings.Compare(a.Name, b.Name) }
	slices.SortStableFunc(s.Zones, func(a, b Zone) int { return byName(a.Meta, b.Meta) })
	slices.SortStableFunc(s.Pools, func(a, b Pool) int { return byName(a.Meta, b.Meta) })
	slices.SortStableFunc(s.Teams, func(a, b Team) int { return byName(a.Meta, b.Meta) })
	slices.SortStableFunc(s.Keys, func(a, b Key) int { return byName(a.Meta, b.Meta) })
	slices.SortStableFunc(s.Queues, func(a, b Queue) int { return byName(a.Meta, b.Meta) })
	slices.SortStableFunc(s.Shares, func(a, b Share) int { return byName(a.Meta, b.Meta) })
	slices.SortStableFunc(s.Limits, func(a, b Limit) int { return byName(a.Meta, b.Meta) })
	slices.SortStableFunc(s.Services, func(a, b Service) int { return byName(a.Meta, b.Meta) })
	slices.SortStableFunc(s.RetryPolicies, func(a, b RetryPolicy) int { return byName(a.Meta, b.Meta) })
	for i := range s.Keys {
		s.Keys[i].Queues = sortedCopy(s.Keys[i].Queues)
	}
	for i := range s.Services {
		s.Services[i].DependsOn = sortedCopy(s.Services[i].DependsOn)
	}
}

func sortedCopy(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	names = slices.Clone(names)
	slices.Sort(names)
	return names
}

func sortProblems(problems []Problem) {
	sort.SliceStable(problems, func(i, j int) bool {
		a, b := problems[i], problems[j]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
}
