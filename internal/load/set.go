package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"sequoiastall/internal/core/object"
)

// Names of the generated queues that all teams may use.
const (
	urgentQueue  = "urgent"
	serviceQueue = "services"
)

// urgentTeam has no limit, so that the waiting time of urgent work depends on the scheduler only.
const urgentTeam = "urgent"

// Shape describes the size of the cell for which an object set is generated.
type Shape struct {
	Zones             int `json:"zones"`
	PartitionsPerZone int `json:"partitions_per_zone"`
	Workers           int `json:"workers"` // in all zones
	Slots             int `json:"slots"`   // of a worker
	Teams             int `json:"teams"`
	Services          int `json:"services"`
	Replicas          int `json:"replicas"`    // of each service
	Concurrency       int `json:"concurrency"` // of each instance, which takes one slot per concurrent request
	// LimitFactor is the ratio of the sum of the teams' limits to the total number of slots; 0 sets no limits.
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

// Files returns the generated object set in the file format that operators write.
func (s Shape) Files() []object.File {
	return []object.File{{Name: "load.jsonc", Data: []byte(s.objects())}}
}

func (s Shape) objects() string {
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
	add(`{"kind":"key","name":%q,"team":%q,"sha256":%q}`, urgentTeam, urgentTeam, hashSecret(urgentSecret))
	for i := range s.Teams {
		add(`{"kind":"team","name":%q}`, teamName(i))
		add(`{"kind":"key","name":%q,"team":%q,"sha256":%q}`, teamName(i), teamName(i), hashSecret(teamSecret(i)))
		add(`{"kind":"queue","name":%q,"class":"batch","team":%q}`, teamQueue(i), teamName(i))
		add(`{"kind":"share","name":%q,"team":%q,"weight":%d}`, teamName(i), teamName(i), 1+i%4)
		if s.LimitFactor > 0 {
			add(`{"kind":"limit","name":%q,"team":%q,"max":{"slots":%d}}`, teamName(i), teamName(i), s.teamLimit())
		}
	}
	for i := range s.Services {
		add(`{"kind":"service","name":%q,"team":%q,"queue":%q,"replicas":%d,"concurrency":%d,`+
			`"resources":{"milli_cpu":100,"memory_mb":64},"request_timeout_ms":2000,"idempotent":true}`,
			serviceName(i), teamName(i%s.Teams), serviceQueue, s.Replicas, s.Concurrency)
	}
	return text + "\n]\n"
}

// teamLimit returns the number of slots that each team may use at once: at least one more than the instances of its
// services take.
func (s Shape) teamLimit() int {
	all := float64(s.Workers * s.Slots)
	services := (s.Services + s.Teams - 1) / s.Teams * s.Replicas * s.Concurrency
	return max(int(s.LimitFactor*all/float64(s.Teams)), services+1)
}

func hashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
