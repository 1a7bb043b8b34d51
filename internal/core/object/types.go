// Package object defines the configuration objects that operators write. A set of objects is validated, published and
// applied as a whole.
package object

import (
	"sequoiastall/internal/core/resource"
)

// Kind is the type of a configuration object.
type Kind string

// The kinds of objects.
const (
	KindCell        Kind = "cell"
	KindZone        Kind = "zone"
	KindPool        Kind = "pool"
	KindTeam        Kind = "team"
	KindKey         Kind = "key"
	KindQueue       Kind = "queue"
	KindShare       Kind = "share"
	KindLimit       Kind = "limit"
	KindService     Kind = "service"
	KindRetryPolicy Kind = "retry_policy"
)

// Kinds lists every kind in the order in which a set is encoded.
func Kinds() []Kind {
	return []Kind{KindCell, KindZone, KindPool, KindTeam, KindKey, KindQueue, KindShare, KindLimit, KindService,
		KindRetryPolicy}
}

// Meta holds the fields that all objects have. Names are unique within a kind.
type Meta struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Resources is an amount of resources in the form that configuration files use.
type Resources struct {
	Slots        int64 `json:"slots,omitempty"`
	MilliCPU     int64 `json:"milli_cpu,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Vector converts the amount to the form that the scheduler core uses.
func (r Resources) Vector() resource.Vector {
	return resource.Vector{Slots: r.Slots, MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators}
}

// Policy holds the weights of the placement scores. A weight of 0 ignores its score; at least one must be positive.
type Policy struct {
	Packing float64 `json:"packing"`
	Share   float64 `json:"share"`
	Waiting float64 `json:"waiting"`
}

// Cell holds the settings of the whole cell. A set has exactly one.
type Cell struct {
	Meta
	PartitionsPerZone int32  `json:"partitions_per_zone"` // 1 if left out
	Policy            Policy `json:"policy"`              // a weight that is left out is 1
}

// Zone is a data centre.
type Zone struct {
	Meta
	Region string `json:"region"`
}

// Pool is a group of workers with the same hardware.
type Pool struct {
	Meta
	// Label is the hardware label that the pool's workers carry; the pool's name if left out.
	Label string `json:"label"`
}

// Team is a customer.
type Team struct {
	Meta
}

// Key is the credential of a team. The secret itself is never stored.
type Key struct {
	Meta
	Team string `json:"team"`
	// SHA256 is the hash of the secret in 64 lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
	// Queues limits the key to these queues; empty allows every queue that the team may use.
	Queues []string `json:"queues,omitempty"`
}

// Class is the kind of work that a queue accepts.
type Class string

// The classes of queues.
const (
	ClassBatch   Class = "batch"
	ClassGang    Class = "gang"
	ClassService Class = "service"
	ClassRequest Class = "request"
)

// Priority ranks queues. It takes precedence over shares.
type Priority string

// The priorities of queues.
const (
	Normal Priority = "normal"
	Urgent Priority = "urgent"
)

// Queue accepts work of one class, either from one team or, if Open, from all teams.
type Queue struct {
	Meta
	Class       Class    `json:"class"`
	Team        string   `json:"team,omitempty"`
	Open        bool     `json:"open,omitempty"`
	Priority    Priority `json:"priority"` // normal if left out
	RetryPolicy string   `json:"retry_policy,omitempty"`
	// MaxTasks is the largest number of tasks in one job; 0 is MaxTasksPerJob. It doesn't apply to request queues.
	MaxTasks int32 `json:"max_tasks,omitempty"`
	// MaxWaiting is the number of jobs or requests that may wait; 0 is DefaultMaxWaiting.
	MaxWaiting int32 `json:"max_waiting,omitempty"`
}

// Share sets a team's part of a cell that is full, in proportion to the weights of the other teams.
type Share struct {
	Meta
	Team   string  `json:"team"`
	Weight float64 `json:"weight"` // positive
}

// Limit is the maximum that a team may have running at once in the whole fleet. A resource that is left out is
// unlimited.
type Limit struct {
	Meta
	Team string    `json:"team"`
	Max  LimitSize `json:"max"`
}

// LimitSize is an upper limit; nil is unlimited, zero forbids the resource.
type LimitSize struct {
	Slots        *int64 `json:"slots,omitempty"`
	MilliCPU     *int64 `json:"milli_cpu,omitempty"`
	MemoryMB     *int64 `json:"memory_mb,omitempty"`
	Accelerators *int64 `json:"accelerators,omitempty"`
}

// Unlimited is the value of a resource that a limit leaves out. It exceeds the capacity of any fleet, and the product
// of two such values fits in an int64, so that scaling an allowance doesn't overflow.
const Unlimited = int64(1) << 31

// Vector converts the limit to the form that the scheduler core uses, with Unlimited for resources that are left out.
func (l LimitSize) Vector() resource.Vector {
	orUnlimited := func(p *int64) int64 {
		if p == nil {
			return Unlimited
		}
		return *p
	}
	return resource.Vector{Slots: orUnlimited(l.Slots), MilliCPU: orUnlimited(l.MilliCPU), MemoryMB: orUnlimited(l.MemoryMB),
		Accelerators: orUnlimited(l.Accelerators)}
}

// Service is a long-running program that a team's requests are forwarded to.
type Service struct {
	Meta
	Team      string    `json:"team"`
	Queue     string    `json:"queue"` // a queue of class service
	Replicas  int32     `json:"replicas"`
	Resources Resources `json:"resources"` // of each replica; Slots is Concurrency if left out
	// Concurrency is the number of requests that a replica serves at once.
	Concurrency      int32  `json:"concurrency"`
	RequestTimeoutMS int64  `json:"request_timeout_ms"`
	RetryPolicy      string `json:"retry_policy,omitempty"`
	// Idempotent is the default for requests that don't state whether they are idempotent.
	Idempotent bool   `json:"idempotent,omitempty"`
	Pool       string `json:"pool,omitempty"` // any worker if empty
	// DependsOn names services that start before this one.
	DependsOn []string `json:"depends_on,omitempty"`
}

// RetryPolicy sets how often work is tried and when requests are hedged.
type RetryPolicy struct {
	Meta
	MaxTries      int32 `json:"max_tries"`          // 1 never retries
	PerTryMS      int64 `json:"per_try_timeout_ms"` // 0 lets each try use the whole deadline
	BudgetPercent int32 `json:"budget_percent"`     // retries per 100 first tries; 10 if left out
	HedgeAfterMS  int64 `json:"hedge_after_ms"`     // 0 hedges after the measured p95 latency
	HedgeDisabled bool  `json:"hedge_disabled,omitempty"`
}

// Set is a whole set of objects. Within each kind the objects are sorted by name.
type Set struct {
	origins  map[occurrence]origin // where Parse found the objects; nil for a decoded set
	unparsed map[string]bool       // quoted strings in files and objects that Parse couldn't read

	Cell          Cell          `json:"cell"`
	Zones         []Zone        `json:"zones,omitempty"`
	Pools         []Pool        `json:"pools,omitempty"`
	Teams         []Team        `json:"teams,omitempty"`
	Keys          []Key         `json:"keys,omitempty"`
	Queues        []Queue       `json:"queues,omitempty"`
	Shares        []Share       `json:"shares,omitempty"`
	Limits        []Limit       `json:"limits,omitempty"`
	Services      []Service     `json:"services,omitempty"`
	RetryPolicies []RetryPolicy `json:"retry_policies,omitempty"`
}

// File is a configuration file.
type File struct {
	Name string
	Data []byte
}

// Problem is an error in a set. Fields that don't apply are zero.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // from 1
	Kind    Kind   `json:"kind,omitempty"`
	Name    string `json:"name,omitempty"`
	Message string `json:"message"`
}

// Action is what a change does to an object.
type Action string

// The actions of changes.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is the difference of one object between two sets.
type Change struct {
	Action Action   `json:"action"`
	Kind   Kind     `json:"kind"`
	Name   string   `json:"name"`
	Fields []string `json:"fields,omitempty"` // fields that differ, for Changed
}
