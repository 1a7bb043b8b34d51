package cell

import (
	"strings"
)

// Config is one version of the operators' configuration. It must not change after NewConfig.
type Config struct {
	Version int64
	Queues  []Queue
	Teams   []Team
	BodyMax int // bytes
	byName  map[string]*Queue
	byTeam  map[string]*Team
	byKey   map[string]*Team
	byHost  map[string][]*Queue
}

// NewConfig returns a copy of a configuration with its indexes built.
func NewConfig(c Config) *Config {
	c.byName, c.byTeam = map[string]*Queue{}, map[string]*Team{}
	c.byKey, c.byHost = map[string]*Team{}, map[string][]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byName[q.Name] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for i := range c.Teams {
		t := &c.Teams[i]
		c.byTeam[t.Name] = t
		for _, key := range t.Keys {
			c.byKey[key] = t
		}
	}
	return &c
}

// Route returns the queue whose prefix is the longest one that matches the path, and the rest of the path. It returns nil
// if no queue matches.
func (c *Config) Route(host, path string) (*Queue, string) {
	var best *Queue
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns a queue by name, or nil if there is none.
func (c *Config) Queue(name string) *Queue { return c.byName[name] }

// Team returns a team by name, or nil if there is none.
func (c *Config) Team(name string) *Team { return c.byTeam[name] }

// Authenticate returns the team to which the key belongs, or nil if there is none.
func (c *Config) Authenticate(key string) *Team { return c.byKey[key] }
