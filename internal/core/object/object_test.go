package object

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// base is a set without problems. The line numbers that the tests below expect refer to it.
var base = []string{
	`{"kind": "cell", "name": "main"}`,
	`{"kind": "zone", "name": "z1", "region": "r1"}`,
	`{"kind": "team", "name": "a"}`,
	`{"kind": "team", "name": "b"}`,
	`{"kind": "key", "name": "ka", "team": "a", "sha256": "` + hashOf("example-ka") + `", "queues": ["qa"]}`,
	`{"kind": "queue", "name": "qa", "class": "service", "team": "a"}`,
	`{"kind": "queue", "name": "qb", "class": "batch", "team": "b"}`,
	`{"kind": "share", "name": "sa", "team": "a", "weight": 2}`,
	`{"kind": "limit", "name": "la", "team": "a", "max": {"slots": 10, "memory_mb": 4096}}`,
	`{"kind": "retry_policy", "name": "rp", "max_tries": 2}`,
	`{"kind": "service", "name": "s1", "team": "a", "queue": "qa", "replicas": 2, "concurrency": 4, "request_timeout_ms": 500, "resources": {"milli_cpu": 100, "memory_mb": 512}}`,
}

func fileOf(objects ...string) []File {
	return []File{{Name: "set.jsonc", Data: []byte("[ // one object per line\n" + strings.Join(objects, ",\n") + "\n]")}}
}

func with(objects ...string) []File {
	return fileOf(append(append([]string{}, base...), objects...)...)
}

// replaced returns the base set with the first occurrence of a text replaced.
func replaced(from, to string) []File {
	return fileOf(strings.Split(strings.Replace(strings.Join(base, "\n"), from, to, 1), "\n")...)
}

// Guards against problems that are reported for a valid set.
func TestBaseSetIsValid(t *testing.T) {
	_, problems := Validate(with())
	assert.Equal(t, len(problems), 0, "%v", problems)
}

// Guards against publishing an invalid set, and against a report without the line and object name that an operator
// needs.
func TestProblems(t *testing.T) {
	for name, tc := range map[string]struct {
		files []File
		want  string
	}{
		"syntax":               {[]File{{"x", []byte("[\n{\"kind\": }]")}}, "x:2: syntax error"},
		"not an object":        {with(`4`), "set.jsonc:13: expected an object"},
		"no kind":              {with(`{"name": "x"}`), `field "kind" is missing`},
		"unknown kind":         {with(`{"kind": "quue", "name": "x"}`), `unknown kind "quue", did you mean "queue"?`},
		"unknown field":        {replaced(`"request_timeout_ms": 500`, `"request_timeout_ms": 500, "concurency": 1`), `set.jsonc:12: service "s1": unknown field "concurency", did you mean "concurrency"?`},
		"field without unit":   {replaced(`"memory_mb": 512`, `"memory_mb": 512, "memory": 1`), `unknown field "resources.memory", did you mean "memory_mb"?`},
		"field twice":          {replaced(`"weight": 2`, `"weight": 2, "weight": 3`), `field "weight" occurs twice`},
		"wrong type":           {replaced(`"weight": 2`, `"weight": "2"`), `share "sa": weight: must be a number, not the string "2"`},
		"null":                 {replaced(`"weight": 2`, `"weight": null`), `weight: must be a number, not null`},
		"unit in value":        {replaced(`"request_timeout_ms": 500`, `"request_timeout_ms": "500ms"`), `request_timeout_ms: must be a whole number of milliseconds, not the string "500ms"`},
		"fraction":             {replaced(`"memory_mb": 512`, `"memory_mb": 0.5`), `memory_mb: must be a whole number of megabytes, not 0.5`},
		"number too large":     {replaced(`"replicas": 2`, `"replicas": 99999999999`), `replicas: 99999999999 is out of range`},
		"duplicate":            {with(`{"kind": "team", "name": "a"}`), `set.jsonc:13: team "a": duplicate name; the first is at set.jsonc:4`},
		"no name":              {with(`{"kind": "team"}`), `field "name" is missing`},
		"bad name":             {with(`{"kind": "team", "name": "A/b"}`), `team "A/b": name must consist`},
		"dangling team":        {replaced(`"share", "name": "sa", "team": "a"`, `"share", "name": "sa", "team": "c"`), `share "sa": team: team "c" doesn't exist`},
		"dangling queue":       {replaced(`["qa"]`, `["qx"]`), `key "ka": queues: queue "qx" doesn't exist, did you mean "qa"?`},
		"foreign queue":        {replaced(`["qa"]`, `["qb"]`), `queue "qb" belongs to team "b"`},
		"dangling policy":      {replaced(`"class": "batch"`, `"class": "batch", "retry_policy": "none"`), `retry_policy "none" doesn't exist`},
		"dangling pool":        {replaced(`"replicas": 2`, `"replicas": 2, "pool": "gpu"`), `pool "gpu" doesn't exist`},
		"dangling dependency":  {replaced(`"replicas": 2`, `"replicas": 2, "depends_on": ["s9"]`), `service "s9" doesn't exist`},
		"cycle":                {replaced(`"replicas": 2`, `"replicas": 2, "depends_on": ["s1"]`), `depends_on forms a cycle: s1 -> s1`},
		"two shares":           {with(`{"kind": "share", "name": "sb", "team": "a", "weight": 1}`), `share "sb": team "a" already has the share "sa"`},
		"two limits":           {with(`{"kind": "limit", "name": "lb", "team": "a", "max": {"slots": 100}}`), `team "a" already has the limit "la"`},
		"weight":               {replaced(`"weight": 2`, `"weight": 0`), `weight: 0 is out of range, must be positive`},
		"replicas over limit":  {replaced(`"replicas": 2`, `"replicas": 3`), `all replicas together need slots 12 of at most 10, which is beyond limit "la"`},
		"replica over limit":   {replaced(`"memory_mb": 4096`, `"memory_mb": 500`), `one replica needs memory_mb 512 of at most 500`},
		"services over limit":  {with(strings.Replace(base[10], "s1", "s2", 1)), `the services of team "a" together need slots 16 of at most 10`},
		"slots":                {replaced(`"milli_cpu": 100`, `"milli_cpu": 100, "slots": 9`), `resources.slots: 9 differs from concurrency, 4`},
		"no cell":              {fileOf(base[1:]...), `the set has no cell`},
		"two cells":            {with(`{"kind": "cell", "name": "other"}`), `cell "other": a set has exactly one cell; the first is at set.jsonc:2`},
		"bad hash":             {replaced(hashOf("example-ka"), "12ab"), `key "ka": sha256 must be the SHA-256 hash`},
		"empty secret":         {replaced(hashOf("example-ka"), emptySecretHash), `hash of an empty secret`},
		"same hash":            {with(strings.Replace(base[4], `"ka"`, `"kb"`, 1)), `sha256 is the same as that of key "ka"`},
		"negative":             {replaced(`"milli_cpu": 100`, `"milli_cpu": -1`), `resources.milli_cpu: -1 is out of range`},
		"absurd":               {replaced(`"milli_cpu": 100`, `"milli_cpu": 9000000000000000000`), `resources.milli_cpu: 9000000000000000000 is out of range`},
		"missing size":         {replaced(`"memory_mb": 512`, `"accelerators": 0`), `resources.memory_mb: 0 is out of range`},
		"missing replicas":     {replaced(`"replicas": 2, `, ``), `field "replicas" is missing`},
		"missing timeout":      {replaced(`, "request_timeout_ms": 500`, ``), `field "request_timeout_ms" is missing`},
		"queue of nobody":      {with(`{"kind": "queue", "name": "q", "class": "batch"}`), `a queue needs either a team or open: true`},
		"queue of both":        {with(`{"kind": "queue", "name": "q", "class": "batch", "team": "a", "open": true}`), `not both`},
		"class":                {with(`{"kind": "queue", "name": "q", "class": "night", "open": true}`), `class: "night" is not one of batch, gang, service, request`},
		"service in batch":     {replaced(`"queue": "qa"`, `"queue": "qb"`), `queue "qb" is of class batch, must be of class service`},
		"partitions":           {replaced(`"name": "main"`, `"name": "main", "partitions_per_zone": 0`), `partitions_per_zone: 0 is out of range, must be from 1 to 64`},
		"policy":               {replaced(`"name": "main"`, `"name": "main", "policy": {"packing": 0, "share": 0, "waiting": 0}`), `at least one weight must be positive`},
		"limits nothing":       {with(`{"kind": "limit", "name": "lb", "team": "b", "max": {}}`), `max names no resource`},
		"tries":                {replaced(`"max_tries": 2`, `"max_tries": 0`), `max_tries: 0 is out of range, must be from 1 to 10`},
		"contradictory hedges": {replaced(`"max_tries": 2`, `"max_tries": 2, "hedge_after_ms": 5, "hedge_disabled": true`), `contradicts hedge_disabled`},
	} {
		t.Run(name, func(t *testing.T) {
			_, problems := Validate(tc.files)
			var all []string
			for _, p := range problems {
				all = append(all, p.Error())
			}
			assert.Assert(t, strings.Contains(strings.Join(all, "\n"), tc.want), "want %s in:\n%s", tc.want, strings.Join(all, "\n"))
		})
	}
}

// Guards against a report that stops at the first problem or lists one problem twice.
func TestAllProblemsAtOnce(t *testing.T) {
	files := []File{
		{"a.jsonc", []byte(`{"kind": "share", "name": "s", "team": "none", "weight": "1"}`)},
		{"b.jsonc", []byte("\n{")},
		{"c.jsonc", []byte(`{"kind": "cell", "name": "main", "zones": 4}`)},
	}
	_, problems := Validate(files)
	var got []string
	for _, p := range problems {
		got = append(got, fmt.Sprintf("%s:%d", p.File, p.Line))
	}
	assert.DeepEqual(t, got, []string{"a.jsonc:1", "a.jsonc:1", "b.jsonc:2", "c.jsonc:1"})
}

// Guards against problems that are reported only because another file can't be parsed, such as references to objects in
// that file, and against real problems that go unreported because of it.
func TestUnreadableFileHidesNoOtherProblems(t *testing.T) {
	_, problems := Validate([]File{
		{"a.jsonc", []byte(`[{"kind": "cell", "name": "main"}, {"kind": "team", "name": "a"}`)},
		{"b.jsonc", []byte(`[{"kind": "share", "name": "a", "team": "a", "weight": 1}, {"kind": "share", "name": "b", "team": "b", "weight": 1}]`)},
	})
	assert.Equal(t, len(problems), 2, "%v", problems)
	assert.Assert(t, strings.HasPrefix(problems[0].Error(), "a.jsonc:1: syntax error"), problems[0].Error())
	assert.Equal(t, problems[1].Error(), `b.jsonc:1: share "b": team: team "b" doesn't exist`)
}

// Guards against a longer cycle that is missed or reported once per member.
func TestCycleIsReportedOnce(t *testing.T) {
	service := func(name, on string) string {
		return fmt.Sprintf(`{"kind": "service", "name": %q, "team": "b", "queue": "open", "replicas": 1, "concurrency": 1, "request_timeout_ms": 1, "resources": {"milli_cpu": 1, "memory_mb": 1}, "depends_on": [%q]}`, name, on)
	}
	_, problems := Validate(with(`{"kind": "queue", "name": "open", "class": "service", "open": true}`,
		service("x", "y"), service("y", "z"), service("z", "x"), service("w", "x")))
	assert.Equal(t, len(problems), 1, "%v", problems)
	assert.Equal(t, problems[0].Message, "depends_on forms a cycle: x -> y -> z -> x")
}

// Guards against a set that passes the check but is too large for a value in the store.
func TestSetTooLarge(t *testing.T) {
	var teams []string
	for i := range 20_000 {
		teams = append(teams, fmt.Sprintf(`{"kind": "team", "name": "team-%048d"}`, i))
	}
	_, problems := Validate(with(teams...))
	assert.Equal(t, len(problems), 1)
	assert.Assert(t, strings.HasPrefix(problems[0].Message, "the set is too large for the store"))
}

// Guards against changes that are missed, reported twice or listed out of order.
func TestDiff(t *testing.T) {
	before, _ := Validate(with())
	after, problems := Validate(replaced(`{"kind": "share", "name": "sa", "team": "a", "weight": 2}`, `{"kind": "share", "name": "new", "team": "a", "weight": 3}`))
	assert.Equal(t, len(problems), 0)
	after.Services[0].Replicas = 1
	assert.DeepEqual(t, Diff(before, after), []Change{
		{Action: Added, Kind: KindShare, Name: "new"},
		{Action: Removed, Kind: KindShare, Name: "sa"},
		{Action: Changed, Kind: KindService, Name: "s1", Fields: []string{"replicas"}},
	})
	assert.Equal(t, len(Diff(before, before)), 0)
}

// Guards against lookups that return another key, weight, limit or queue permission than the set defines.
func TestIndex(t *testing.T) {
	set, _ := Validate(with())
	x, err := NewIndex(set)
	assert.NilError(t, err)
	key, ok := x.Key(sha256.Sum256([]byte("example-ka")))
	assert.Assert(t, ok && key.Team == "a")
	_, ok = x.Key(sha256.Sum256([]byte("example-kb")))
	assert.Assert(t, !ok)
	a, _ := x.Team("a")
	assert.Equal(t, a, TeamQuota{Name: "a", Weight: 2, Limited: true, Limit: Resources{10, Unlimited, 4096, Unlimited}.Vector()})
	b, _ := x.Team("b")
	assert.Assert(t, b.Weight == DefaultWeight && !b.Limited)
	assert.Assert(t, x.MayUse(key, "qa") && !x.MayUse(key, "qb") && !x.MayUse(key, "none"))
	s, _ := x.Service("s1")
	assert.Equal(t, s.Resources.Slots, int64(4))
}

// Guards against a set that passes the check but can't be encoded, decoded and indexed, and against a digest that
// depends on the order of the objects in the configuration files.
func TestValidSetsCanBeApplied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objects := append([]string{}, base...)
		for i := range rapid.IntRange(0, 8).Draw(t, "teams") {
			objects = append(objects, fmt.Sprintf(`{"kind": "team", "name": "t%d"}`, i),
				fmt.Sprintf(`{"kind": "share", "name": "t%d", "team": "t%d", "weight": %v}`, i, i, rapid.Float64Range(0.001, 1e6).Draw(t, "weight")),
				fmt.Sprintf(`{"kind": "limit", "name": "t%d", "team": "t%d", "max": {"milli_cpu": %d}}`, i, i, rapid.Int64Range(0, MaxLimit).Draw(t, "limit")))
		}
		set, problems := Validate(fileOf(objects...))
		if len(problems) > 0 {
			t.Fatalf("problems: %v", problems)
		}
		shuffled, _ := Validate(fileOf(rapid.Permutation(objects).Draw(t, "order")...))
		data, err := Encode(set)
		assert.NilError(t, err)
		other, err := Encode(shuffled)
		assert.NilError(t, err)
		assert.Equal(t, Digest(data), Digest(other))
		decoded, err := Decode(data)
		assert.NilError(t, err)
		assert.Assert(t, decoded.Equal(set) && len(decoded.Check()) == 0 && len(Diff(set, decoded)) == 0)
		_, err = NewIndex(decoded)
		assert.NilError(t, err)
	})
}

// Guards against input that makes the parser panic, and against a damaged set that passes the check but can't be used.
func TestDamagedInput(t *testing.T) {
	text := string(with()[0].Data)
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		length := rapid.IntRange(1, 40).Draw(t, "length")
		damaged := text[:at] + rapid.SampledFrom([]string{"", "{", "]", "null", `"x"`, "-1", "[[]]", "\x00"}).Draw(t, "insert") + text[min(len(text), at+length):]
		set, problems := Validate([]File{{Name: "x", Data: []byte(damaged)}})
		if len(problems) > 0 {
			return
		}
		data, err := Encode(set)
		assert.NilError(t, err)
		_, err = Decode(data)
		assert.NilError(t, err)
		_, err = NewIndex(set)
		assert.NilError(t, err)
	})
}
