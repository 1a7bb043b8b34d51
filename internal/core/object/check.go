package object

import (
	"fmt"
	"regexp"
	"strings"

	"sequoiastall/internal/core/jsonc"
	"sequoiastall/internal/core/resource"
)

// Limits and defaults for the contents of a set.
const (
	// MaxEncodedBytes keeps a set within the store's limit of 1 MB per value: the record in the store holds the set in
	// base64 (4/3 of its size) and some hundred bytes more.
	MaxEncodedBytes = 740_000

	MaxPartitionsPerZone = 64
	MaxWeight            = 1_000_000
	MaxTasksPerJob       = 100_000
	MaxWaitingPerQueue   = 1_000_000
	DefaultMaxWaiting    = 10_000
	DefaultBudgetPercent = 10
	MaxReplicas          = 10_000
	MaxConcurrency       = 4_096
	MaxTries             = 10
	MaxTimeoutMS         = 3_600_000 // 1 hour
	MaxTaskSlots         = 4_096
	MaxTaskMilliCPU      = 1_024_000
	MaxTaskMemoryMB      = 16 << 20 // 16 TB
	MaxTaskAccelerators  = 64
	MaxLimit             = Unlimited - 1
)

// namePattern keeps names usable in store keys, partition names and URLs.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

const nameRule = "must consist of at most 63 lower-case letters, digits, '.', '_' and '-', and start and end with a letter or digit"

// hashPattern matches a SHA-256 hash.
var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// emptySecretHash is the SHA-256 of the empty secret.
const emptySecretHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// Check returns every problem of the set as a whole: references, names, sizes and contradictory fields. A set
// without problems can be applied.
func (s Set) Check() []Problem {
	c := newChecker(s)
	c.checkNames()
	c.checkCell()
	c.checkZonesAndPools()
	c.checkKeys()
	c.checkQueues()
	c.checkSharesAndLimits()
	c.checkServices()
	c.checkRetryPolicies()
	c.checkDependencyCycles()
	c.checkEncodedSize()
	sortProblems(c.problems)
	return c.problems
}

type checker struct {
	set          Set
	problems     []Problem
	namesByKind  map[Kind][]string
	occurrences  map[Meta]int // number of objects with this kind and name
	queuesByName map[string]Queue
	current      occurrence   // object being checked
	visited      map[Meta]int // number of objects in the current pass so far
}

func newChecker(s Set) *checker {
	c := &checker{set: s, namesByKind: map[Kind][]string{}, occurrences: map[Meta]int{}, queuesByName: map[string]Queue{}}
	for _, e := range s.Entries() {
		m := Meta{e.Kind, e.Name}
		if c.occurrences[m] == 0 {
			c.namesByKind[e.Kind] = append(c.namesByKind[e.Kind], e.Name)
		}
		c.occurrences[m]++
	}
	for _, q := range s.Queues {
		if _, seen := c.queuesByName[q.Name]; !seen {
			c.queuesByName[q.Name] = q
		}
	}
	c.startPass()
	return c
}

// startPass starts a new pass over the set's objects.
func (c *checker) startPass() { c.visited = map[Meta]int{} }

// setCurrent selects the object that report refers to. Within a pass, objects must be selected in the set's order,
// because objects of the same name are told apart by counting them.
func (c *checker) setCurrent(m Meta) {
	c.current = occurrence{kind: m.Kind, name: m.Name, index: c.visited[m]}
	c.visited[m]++
}

// report adds a problem of a field, unless the parser has already reported that the field couldn't be read.
func (c *checker) report(field, format string, args ...any) {
	o := c.set.origins[c.current]
	if o.invalidFields[field] {
		return
	}
	line := o.line
	if l, ok := o.fieldLines[field]; ok {
		line = l
	}
	c.problems = append(c.problems, Problem{File: o.file, Line: line, Kind: c.current.kind, Name: c.current.name,
		Message: fmt.Sprintf(format, args...)})
}

// checkReference checks a reference to an object; an optional one may be empty. It returns whether the object exists.
func (c *checker) checkReference(field string, kind Kind, name string, optional bool) bool {
	if name == "" {
		if !optional {
			c.report(field, "field %q is missing", field)
		}
		return false
	}
	if c.occurrences[Meta{kind, name}] > 0 {
		return true
	}
	if c.set.unparsed[name] {
		return false // the object may be in a part that couldn't be parsed
	}
	c.report(field, "%s: %s %q doesn't exist%s", field, kind, name, jsonc.Suggestion(name, c.namesByKind[kind]))
	return false
}

// checkRange checks that a number is in a range and returns the result. Zero is reported as missing if it is out of
// range and the field isn't in the file.
func (c *checker) checkRange(field string, value, low, high int64) bool {
	if value >= low && value <= high {
		return true
	}
	topField, _, _ := strings.Cut(field, ".")
	if _, given := c.set.origins[c.current].fieldLines[topField]; !given && value == 0 && c.set.origins != nil {
		c.report(topField, "field %q is missing", field)
		return false
	}
	c.report(topField, "%s: %d is out of range, must be from %d to %d", field, value, low, high)
	return false
}

func (c *checker) checkNames() {
	c.startPass()
	for _, e := range c.set.Entries() {
		c.setCurrent(e.Meta)
		switch {
		case e.Name == "":
			c.report("name", "field \"name\" is missing")
		case !namePattern.MatchString(e.Name):
			c.report("name", "name %s", nameRule)
		}
		if c.current.index > 0 && e.Name != "" {
			first := c.set.origins[occurrence{kind: e.Kind, name: e.Name}]
			c.report("name", "duplicate name; the first is at %s:%d", first.file, first.line)
		}
	}
	c.startPass()
}

func (c *checker) checkCell() {
	cell := c.set.Cell
	if cell.Kind == "" && c.set.unparsed[string(KindCell)] {
		return
	}
	if cell.Kind == "" {
		c.problems = append(c.problems, Problem{Kind: KindCell, Message: "the set has no cell"})
		return
	}
	c.setCurrent(cell.Meta)
	if cell.Name == "" {
		c.report("name", "field \"name\" is missing")
	}
	c.checkRange("partitions_per_zone", int64(cell.PartitionsPerZone), 1, MaxPartitionsPerZone)
	sum := 0.0
	for _, w := range []struct {
		field string
		value float64
	}{{"packing", cell.Policy.Packing}, {"share", cell.Policy.Share}, {"waiting", cell.Policy.Waiting}} {
		if w.value < 0 || w.value > MaxWeight {
			c.report("policy", "policy.%s: %v is out of range, must be from 0 to %d", w.field, w.value, MaxWeight)
		}
		sum += max(0, w.value)
	}
	if sum == 0 {
		c.report("policy", "policy: at least one weight must be positive")
	}
}

func (c *checker) checkZonesAndPools() {
	for _, z := range c.set.Zones {
		c.setCurrent(z.Meta)
		if z.Region == "" {
			c.report("region", "field \"region\" is missing")
		} else if !namePattern.MatchString(z.Region) {
			c.report("region", "region %q %s", z.Region, nameRule)
		}
	}
	labels := map[string]string{}
	for _, p := range c.set.Pools {
		c.setCurrent(p.Meta)
		if p.Label != "" && !namePattern.MatchString(p.Label) {
			c.report("label", "label %q %s", p.Label, nameRule)
		}
		if other, taken := labels[p.Label]; taken && other != p.Name {
			c.report("label", "label %q is also the label of pool %q", p.Label, other)
		}
		labels[p.Label] = p.Name
	}
}

func (c *checker) checkKeys() {
	hashes := map[string]string{}
	for _, k := range c.set.Keys {
		c.setCurrent(k.Meta)
		c.checkReference("team", KindTeam, k.Team, false)
		other, taken := hashes[k.SHA256]
		switch {
		case !hashPattern.MatchString(k.SHA256):
			c.report("sha256", "sha256 must be the SHA-256 hash of the secret in 64 lower-case hexadecimal digits")
		case k.SHA256 == emptySecretHash:
			c.report("sha256", "sha256 is the hash of an empty secret")
		case taken && other != k.Name:
			c.report("sha256", "sha256 is the same as that of key %q", other)
		}
		hashes[k.SHA256] = k.Name
		for i, name := range k.Queues {
			if i > 0 && k.Queues[i-1] == name {
				c.report("queues", "queues: %q occurs twice", name)
				continue
			}
			if c.checkReference("queues", KindQueue, name, false) && !c.teamMayUseQueue(name, k.Team) {
				c.report("queues", "queues: queue %q belongs to team %q", name, c.queuesByName[name].Team)
			}
		}
	}
}

func (c *checker) teamMayUseQueue(queue, team string) bool {
	q := c.queuesByName[queue]
	return q.Open || q.Team == team || q.Team == ""
}

func (c *checker) checkQueues() {
	for _, q := range c.set.Queues {
		c.setCurrent(q.Meta)
		c.checkOneOf("class", string(q.Class), string(ClassBatch), string(ClassGang), string(ClassService), string(ClassRequest))
		c.checkOneOf("priority", string(q.Priority), string(Normal), string(Urgent))
		switch {
		case q.Open && q.Team != "":
			c.report("open", "a queue has either a team or open: true, not both")
		case !q.Open && q.Team == "":
			c.report("team", "a queue needs either a team or open: true")
		}
		c.checkReference("team", KindTeam, q.Team, true)
		c.checkReference("retry_policy", KindRetryPolicy, q.RetryPolicy, true)
		c.checkRange("max_tasks", int64(q.MaxTasks), 0, MaxTasksPerJob)
		if q.Class == ClassRequest && q.MaxTasks > 0 {
			c.report("max_tasks", "max_tasks doesn't apply to a queue of class request")
		}
		c.checkRange("max_waiting", int64(q.MaxWaiting), 0, MaxWaitingPerQueue)
	}
}

func (c *checker) checkOneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	if value == "" {
		c.report(field, "field %q is missing, must be one of %s", field, strings.Join(allowed, ", "))
		return
	}
	c.report(field, "%s: %q is not one of %s", field, value, strings.Join(allowed, ", "))
}

func (c *checker) checkSharesAndLimits() {
	shares, limits := map[string]string{}, map[string]string{}
	for _, s := range c.set.Shares {
		c.setCurrent(s.Meta)
		c.checkReference("team", KindTeam, s.Team, false)
		if s.Weight <= 0 || s.Weight > MaxWeight {
			c.report("weight", "weight: %v is out of range, must be positive and at most %d", s.Weight, MaxWeight)
		}
		c.checkOnePerTeam(shares, s.Meta, s.Team)
	}
	for _, l := range c.set.Limits {
		c.setCurrent(l.Meta)
		c.checkReference("team", KindTeam, l.Team, false)
		c.checkOnePerTeam(limits, l.Meta, l.Team)
		if l.Max == (LimitSize{}) {
			c.report("max", "max names no resource")
		}
		for _, r := range []struct {
			field string
			value *int64
		}{{"slots", l.Max.Slots}, {"milli_cpu", l.Max.MilliCPU}, {"memory_mb", l.Max.MemoryMB}, {"accelerators", l.Max.Accelerators}} {
			if r.value != nil {
				c.checkRange("max."+r.field, *r.value, 0, MaxLimit)
			}
		}
	}
}

func (c *checker) checkOnePerTeam(seen map[string]string, m Meta, team string) {
	if other, taken := seen[team]; taken && team != "" {
		c.report("team", "team %q already has the %s %q", team, m.Kind, other)
		return
	}
	seen[team] = m.Name
}

func (c *checker) checkRetryPolicies() {
	for _, p := range c.set.RetryPolicies {
		c.setCurrent(p.Meta)
		c.checkRange("max_tries", int64(p.MaxTries), 1, MaxTries)
		c.checkRange("per_try_timeout_ms", p.PerTryMS, 0, MaxTimeoutMS)
		c.checkRange("budget_percent", int64(p.BudgetPercent), 0, 100)
		c.checkRange("hedge_after_ms", p.HedgeAfterMS, 0, MaxTimeoutMS)
		if p.HedgeDisabled && p.HedgeAfterMS > 0 {
			c.report("hedge_after_ms", "hedge_after_ms contradicts hedge_disabled")
		}
	}
}

func (c *checker) checkEncodedSize() {
	data, err := Encode(c.set)
	if err != nil {
		c.problems = append(c.problems, Problem{Message: err.Error()})
		return
	}
	if len(data) > MaxEncodedBytes {
		c.problems = append(c.problems, Problem{Message: fmt.Sprintf(
			"the set is too large for the store: %d bytes encoded, at most %d are possible", len(data), MaxEncodedBytes)})
	}
}

// maxTaskResources is the upper limit of each resource of one task.
var maxTaskResources = resource.Vector{Slots: MaxTaskSlots, MilliCPU: MaxTaskMilliCPU, MemoryMB: MaxTaskMemoryMB, Accelerators: MaxTaskAccelerators}
