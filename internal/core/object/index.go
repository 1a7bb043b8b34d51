package object

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/resource"
)

// DefaultWeight is the weight of a team without a share.
const DefaultWeight = 1.0

// TaskLimit returns the largest number of tasks in one job.
func (q Queue) TaskLimit() int32 {
	if q.MaxTasks == 0 {
		return MaxTasksPerJob
	}
	return q.MaxTasks
}

// WaitingLimit returns the number of jobs or requests that may wait.
func (q Queue) WaitingLimit() int32 {
	if q.MaxWaiting == 0 {
		return DefaultMaxWaiting
	}
	return q.MaxWaiting
}

// TeamQuota holds a team's share weight and its limit.
type TeamQuota struct {
	Name    string
	Weight  float64
	Limit   resource.Vector // Unlimited where Limited is false
	Limited bool
}

// Index looks up the objects of a set. It is immutable and safe for concurrent use. In a set that wasn't checked, a
// name that occurs more than once refers to the last object of that name.
type Index struct {
	cell          Cell
	keys          map[uint64][]keyEntry // by the first 8 bytes of the hash
	teams         map[string]TeamQuota
	teamNames     []string
	queues        map[string]Queue
	services      map[string]Service
	retryPolicies map[string]RetryPolicy
	pools         map[string]Pool
	zones         map[string]Zone
}

type keyEntry struct {
	hash [sha256.Size]byte
	key  Key
}

// NewIndex indexes a set. It fails if a key's hash can't be read.
func NewIndex(s Set) (*Index, error) {
	x := &Index{cell: s.Cell, keys: map[uint64][]keyEntry{}, teams: map[string]TeamQuota{}, queues: map[string]Queue{},
		services: map[string]Service{}, retryPolicies: map[string]RetryPolicy{}, pools: map[string]Pool{}, zones: map[string]Zone{}}
	for _, k := range s.Keys {
		e := keyEntry{key: k}
		hash, err := hex.DecodeString(k.SHA256)
		if err != nil || len(hash) != sha256.Size {
			return nil, errors.Errorf("index object set: key %q: bad hash", k.Name)
		}
		copy(e.hash[:], hash)
		bucket := binary.BigEndian.Uint64(e.hash[:])
		x.keys[bucket] = append(x.keys[bucket], e)
	}
	for _, t := range s.Teams {
		x.teams[t.Name] = TeamQuota{Name: t.Name, Weight: DefaultWeight, Limit: LimitSize{}.Vector()}
	}
	for _, share := range s.Shares {
		if t, ok := x.teams[share.Team]; ok {
			t.Weight = share.Weight
			x.teams[share.Team] = t
		}
	}
	for _, limit := range s.Limits {
		if t, ok := x.teams[limit.Team]; ok {
			t.Limit, t.Limited = limit.Max.Vector(), true
			x.teams[limit.Team] = t
		}
	}
	for name := range x.teams {
		x.teamNames = append(x.teamNames, name)
	}
	slices.Sort(x.teamNames)
	for _, q := range s.Queues {
		x.queues[q.Name] = q
	}
	for _, v := range s.Services {
		x.services[v.Name] = v
	}
	for _, p := range s.RetryPolicies {
		x.retryPolicies[p.Name] = p
	}
	for _, p := range s.Pools {
		x.pools[p.Name] = p
	}
	for _, z := range s.Zones {
		x.zones[z.Name] = z
	}
	return x, nil
}

// Cell returns the settings of the cell.
func (x *Index) Cell() Cell { return x.cell }

// Key returns the key with a secret's hash. Candidates are compared in constant time; the first bytes of the hash, by
// which they are looked up, reveal nothing about the secret.
func (x *Index) Key(hash [sha256.Size]byte) (Key, bool) {
	for _, e := range x.keys[binary.BigEndian.Uint64(hash[:])] {
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			return e.key, true
		}
	}
	return Key{}, false
}

// Team returns a team's weight and limit.
func (x *Index) Team(name string) (TeamQuota, bool) { t, ok := x.teams[name]; return t, ok }

// Teams lists the names of all teams in order. The caller must not change the list.
func (x *Index) Teams() []string { return x.teamNames }

// Queue returns the queue with the given name.
func (x *Index) Queue(name string) (Queue, bool) { q, ok := x.queues[name]; return q, ok }

// Service returns the service with the given name.
func (x *Index) Service(name string) (Service, bool) { s, ok := x.services[name]; return s, ok }

// RetryPolicy returns the retry policy with the given name.
func (x *Index) RetryPolicy(name string) (RetryPolicy, bool) {
	p, ok := x.retryPolicies[name]
	return p, ok
}

// Pool returns the pool with the given name.
func (x *Index) Pool(name string) (Pool, bool) { p, ok := x.pools[name]; return p, ok }

// Zone returns the zone with the given name.
func (x *Index) Zone(name string) (Zone, bool) { z, ok := x.zones[name]; return z, ok }

// MayUse reports whether a key may submit work to a queue.
func (x *Index) MayUse(k Key, queue string) bool {
	q, ok := x.queues[queue]
	if !ok || !q.Open && q.Team != k.Team {
		return false
	}
	return len(k.Queues) == 0 || slices.Contains(k.Queues, queue)
}
