package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"sequoiastall/internal/core/object"
)

// Names of the generated queues that all teams use.
const (
	urgentQueue  = "urgent"
	serviceQueue = "services"
)

// urgentTeam has no limit, so that the waiting time of urgent work is that of the scheduler.
const urgentTeam = "urgent"

// Shape describes the cell that a generated set of objects is for.
type Shape struct {
	Zones             int `json:"zones"`
	PartitionsPerZone int `json:"partitions_per_zone"`
	Workers           int `json:"workers"` // in all zones
	Slots             int `json:"slots"`   // of a worker
	Teams             int `json:"teams"`
	Services          int `json:"services"`
	Replicas          int `json:"replicas"`    // of each service
	Concurrency       int `json:"concurrency"` // of each instance, which takes as many slots
	// LimitFactor is the sum of the teams' limits in relation to all slots; 0 sets no limits.
	LimitFactor float64 `json:"limit_factor"`
}

func teamName(i int) string   { return fmt.Sprintf("team%03d", i) }
func teamSecret(i int) string { return fmt.Sprintf("load-secret-%03d", i) }
func teamQueue(i int) string  { return fmt.Sprintf("batch%03d", i) }
func zoneName(i int) string   { return fmt.Sprintf("zone%d", i) }
func serviceName(i int) string {
	return fmt.Sprintf("service%03d", i)
}

const urgentSecret = "load-secret-urgent"

// Files returns the generated set as the operators would write it.
func (s Shape) Files() []object.File {
	return []object.File{{Name: "load.jsonc", Data: []byte(s.text())}}
}

func (s Shape) text() string {
	text := "[\n" + fmt.Sprintf(`{"kind":"cell","name":"load","partitions_per_zone":%d,"policy":{"packing":1,"share":1,"waiting":1}}`, s.PartitionsPerZone)
	add := func(format string, args ...any) { text += ",\n" + fmt.Sprintf(format, args...) }
	for i := range s.Zones {
		region := "one"
		if s.Zones > 4 && i >= (s.Zones+1)/2 {
			region = "two"
		}
		add(`{"kind":"zone","name":%q,"region":%q}`, zoneName(i), region)
	}
	add(`{"kind":"queue","name":%q,"class":"batch","open":true,"priority":"urgent"}`, urgentQueue)
	add(`{"kind":"queue","name":%q,"class":"service","open":true}`, serviceQueue)
	add(`{"kind":"team","name":%q}`, urgentTeam)
	add(`{"kind":"key","name":%q,"team":%q,"sha256":%q}`, urgentTeam, urgentTeam, hashOf(urgentSecret))
	for i := range s.Teams {
		add(`{"kind":"team","name":%q}`, teamName(i))
		add(`{"kind":"key","name":%q,"team":%q,"sha256":%q}`, teamName(i), teamName(i), hashOf(teamSecret(i)))
		add(`{"kind":"queue","name":%q,"class":"batch","team":%q}`, teamQueue(i), teamName(i))
		add(`{"kind":"share","name":%q,"team":%q,"weight":%d}`, teamName(i), teamName(i), 1+i%4)
		if s.LimitFactor > 0 {
			add(`{"kind":"limit","name":%q,"team":%q,"max":{"slots":%d}}`, teamName(i), teamName(i), s.limit())
		}
	}
	for i := range s.Services {
		add(`{"kind":"service","name":%q,"team":%q,"queue":%q,"replicas":%d,"concurrency":%d,`+
			`"resources":{"milli_cpu":100,"memory_mb":64},"request_timeout_ms":2000,"idempotent":true}`,
			serviceName(i), teamName(i%s.Teams), serviceQueue, s.Replicas, s.Concurrency)
	}
	return text + "\n]\n"
}

// limit returns the slots that each team may use at once, at least the instances of its services and one more.
func (s Shape) limit() int {
	all := float64(s.Workers * s.Slots)
	services := (s.Services + s.Teams - 1) / s.Teams * s.Replicas * s.Concurrency
	return max(int(s.LimitFactor*all/float64(s.Teams)), services+1)
}

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
