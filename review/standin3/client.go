package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// route is the prefix of the queue that all cases use, without the last slash.
const route = "/jobs"

// reply is what a client got; status is 0 if there was no answer.
type reply struct {
	status int
	state  string
	body   string
	at     time.Time
}

// client calls one node.
type client struct {
	cell    *cell
	node    *node
	key     string // none if empty
	timeout time.Duration
}

// deadline is how long clients wait for an answer.
const deadline = 3 * time.Second

func (c *cell) client(n *node) *client {
	return &client{cell: c, node: n, key: keyOfTeam, timeout: deadline}
}

func (c *client) get(path string) reply { return c.call(http.MethodGet, path, "") }

// job is a job as it is submitted.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemMB        int    `json:"mem_mb,omitempty"`
	EstimateMS   int    `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	MaxPerServer int    `json:"max_per_server,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	Image        string `json:"image,omitempty"`
}

func (c *client) submit(id string, j job) reply {
	body, _ := json.Marshal(j) // a plain value
	return c.call(http.MethodPost, route+"/"+id, string(body))
}

func (c *client) state(id string) reply  { return c.get(route + "/" + id) }
func (c *client) cancel(id string) reply { return c.call(http.MethodDelete, route+"/"+id, "") }

// call makes a call on a connection of its own and notes it.
func (c *client) call(method, path, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.front+path, strings.NewReader(body))
	if err != nil {
		return reply{at: time.Now()}
	}
	r.Host = host
	r.Header.Set("Deadline-Ms", "3000")
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	r.Close = true
	sent := time.Now()
	var got reply
	if response, err := (&http.Transport{}).RoundTrip(r); err == nil {
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // was read
		if err == nil {
			got.status, got.body = response.StatusCode, strings.TrimSpace(string(text))
		}
		var state struct {
			State string `json:"state"`
		}
		if json.Unmarshal(text, &state) == nil {
			got.state = state.State
		}
	}
	got.at = time.Now()
	c.cell.record.addAt(sent, "client -> %s: %s %s key=%q", c.node.name, method, path, c.key)
	c.cell.record.addAt(got.at, "client <- %s: %s %s: %d %.120s", c.node.name, method, path, got.status, got.body)
	return got
}

// submitUntilAccepted submits a job as clients do: again after no answer, a 502, a 504, a 429 or a 503, at the next node.
func (c *cell) submitUntilAccepted(id string, j job, first int, limit time.Duration) bool {
	for end, i := time.Now().Add(limit), first; time.Now().Before(end); i++ {
		if r := c.client(c.nodes[i%len(c.nodes)]).submit(id, j); r.status == http.StatusOK {
			c.rules.accepted(id, j, r.at)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
