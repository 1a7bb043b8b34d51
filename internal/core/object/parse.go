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

// occurrence identifies an object of a parsed set, including those whose name occurs more than once.
type occurrence struct {
	kind   Kind
	name   string
	number int // from 0, in the order of the sorted set
}

// origin is the place of an object in the operators' files.
type origin struct {
	file  string
	line  int
	lines map[string]int  // line of each field
	bad   map[string]bool // fields with a problem that was already reported
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

// Validate parses the files and checks the set as a whole. It returns all problems, sorted by place; a set without
// problems can come into force.
func Validate(files []File) (Set, []Problem) {
	set, problems := Parse(files)
	problems = append(problems, set.Check()...)
	sortProblems(problems)
	return set, problems
}

// Parse reads the operators' files: each holds one object or a list of objects. The problems are those of single
// objects; Check finds those of the set. An object with a problem is part of the set as far as it could be read, so
// that references to it aren't reported as well.
func Parse(files []File) (Set, []Problem) {
	var p parser
	for _, file := range files {
		p.file(file)
	}
	p.set.sort()
	p.locate()
	sortProblems(p.problems)
	return p.set, p.problems
}

type parser struct {
	set      Set
	problems []Problem
	cells    []origin
	found    []located
}

// quoted matches the texts in a file that can't be read.
var quoted = regexp.MustCompile(`"([^"\n]*)"`)

// skip remembers the texts of what can't be read. An object named there may exist, so references to it aren't reported
// as dangling.
func (p *parser) skip(text string) {
	if p.set.unread == nil {
		p.set.unread = map[string]bool{}
	}
	for _, match := range quoted.FindAllStringSubmatch(text, -1) {
		p.set.unread[match[1]] = true
	}
}

type located struct {
	kind Kind
	name string
	origin
}

func (p *parser) file(file File) {
	document, problems := jsonc.Parse(file.Data)
	for _, problem := range problems {
		p.problems = append(p.problems, Problem{File: file.Name, Line: problem.Line, Message: problem.Message})
	}
	if problems != nil {
		p.skip(string(file.Data))
		return
	}
	if list, ok := document.Root.Value.(*hujson.Array); ok {
		for _, element := range list.Elements {
			p.object(file.Name, document, element)
		}
		return
	}
	p.object(file.Name, document, document.Root)
}

func (p *parser) object(file string, document jsonc.Document, v hujson.Value) {
	line := document.Line(v)
	if _, ok := v.Value.(*hujson.Object); !ok {
		p.problems = append(p.problems, Problem{File: file, Line: line, Message: "expected an object or a list of objects"})
		return
	}
	kindValue, _ := jsonc.Member(v, "kind")
	nameValue, _ := jsonc.Member(v, "name")
	kind, hasKind := jsonc.Text(kindValue)
	name, _ := jsonc.Text(nameValue)
	if !hasKind {
		p.skip(string(v.Pack()))
		p.problems = append(p.problems, Problem{File: file, Line: line, Name: name, Message: `field "kind" is missing or not a string`})
		return
	}
	target := newObject(Kind(kind))
	if target == nil {
		p.skip(string(v.Pack()))
		p.problems = append(p.problems, Problem{File: file, Line: document.Line(kindValue), Name: name,
			Message: fmt.Sprintf("unknown kind %q%s", kind, jsonc.Suggestion(kind, kindNames()))})
		return
	}
	o := origin{file: file, line: line, lines: document.Lines(v), bad: map[string]bool{}}
	for _, problem := range document.Decode(v, target) {
		field, _, _ := strings.Cut(problem.Field, ".")
		field, _, _ = strings.Cut(field, "[")
		o.bad[field] = true
		p.problems = append(p.problems, Problem{File: file, Line: problem.Line, Kind: Kind(kind), Name: name, Message: problem.Message})
	}
	p.add(target, Kind(kind), name, o)
}

func (p *parser) add(target any, kind Kind, name string, o origin) {
	s := &p.set
	switch t := target.(type) {
	case *Cell:
		if len(p.cells) > 0 {
			first := p.cells[0]
			p.problems = append(p.problems, Problem{File: o.file, Line: o.line, Kind: kind, Name: name,
				Message: fmt.Sprintf("a set has exactly one cell; the first is at %s:%d", first.file, first.line)})
			return
		}
		p.cells = append(p.cells, o)
		s.Cell = *t
	case *Zone:
		s.Zones = append(s.Zones, *t)
	case *Pool:
		if t.Label == "" && !o.bad["label"] {
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
		if _, given := o.lines["resources"]; !given || t.Resources.Slots == 0 && !o.bad["resources"] {
			t.Resources.Slots = int64(t.Concurrency)
		}
		s.Services = append(s.Services, *t)
	case *RetryPolicy:
		s.RetryPolicies = append(s.RetryPolicies, *t)
	}
	p.found = append(p.found, located{kind: kind, name: name, origin: o})
}

// locate numbers the origins. Sorting is stable, so the n-th object of a name in the files is the n-th in the set.
func (p *parser) locate() {
	p.set.origins = map[occurrence]origin{}
	count := map[occurrence]int{}
	for _, l := range p.found {
		k := occurrence{kind: l.kind, name: l.name}
		k.number, count[k] = count[k], count[k]+1
		p.set.origins[k] = l.origin
	}
}

// newObject returns a pointer to an object of a kind with the defaults of its fields, nil for an unknown kind.
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

// sort brings a set into canonical order.
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
		s.Keys[i].Queues = sorted(s.Keys[i].Queues)
	}
	for i := range s.Services {
		s.Services[i].DependsOn = sorted(s.Services[i].DependsOn)
	}
}

func sorted(names []string) []string {
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
