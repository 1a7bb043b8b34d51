package main

import (
	"time"
)

// Keys of the only team.
const (
	team      = "team-1"
	keyOfTeam = "key-1"
	otherKey  = "key-2" // stays in force
)

// config is a version of the operator's configuration.
type config struct {
	version     int
	keys        []string
	public      bool
	maxAttempts int
}

// publish writes a configuration and returns when it was acknowledged.
func (c *cell) publish(o config) time.Time {
	at := c.store.write("op/config", map[string]any{
		"version": o.version,
		"routes": []map[string]any{{"name": "q-1", "host": host, "prefix": route + "/", "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 1000,
			"priority": 0, "service": service, "max_attempts": o.maxAttempts, "stretch": 2.2, "public": o.public}},
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "enforce_capacity": false,
			"standby": false}},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": team, "api_keys": o.keys, "priority": 0, "weight": 1000, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
	c.record.addAt(at, "operator: configuration %d acknowledged: keys %v, public %v, max_attempts %d", o.version, o.keys, o.public, o.maxAttempts)
	return at
}
