// Package settings reads the settings of a serve process: strict JSON with comments.
package settings

import (
	"fmt"
	"os"
	"time"

	"sequoiastall/internal/core/jsonc"
)

// Settings are the settings of one ingress node. Print writes the doc tags as comments.
type Settings struct {
	NodeID          string   `json:"node_id" doc:"name of this node, unique among the ingress nodes of the cell"`
	Zone            string   `json:"zone" doc:"zone object that this node is in"`
	Region          string   `json:"region" doc:"region of that zone"`
	PeerAddress     string   `json:"peer_address" doc:"IP:port for other nodes"`
	HTTPAddress     string   `json:"http_address" doc:"IP:port for callers"`
	PlatformAddress string   `json:"platform_address" doc:"IP:port of the platform's store and host list"`
	Seeds           []string `json:"seeds" doc:"peer addresses (IP:port) of nodes to try when the store is unavailable at start"`
	LogLevel        string   `json:"log_level" doc:"debug, info, warn or error"`
	Timing          Timing   `json:"timing" doc:"timing constants; the nodes of a cell should have the same ones"`
}

// Timing holds the timing settings. Their doc tags describe them; Parse rejects values that contradict each other.
type Timing struct {
	ControlLeaseMS         int64 `json:"control_lease_ms" doc:"how long a worker accepts commands from an owner after the last call from it"`
	SyncIntervalMS         int64 `json:"sync_interval_ms" doc:"interval of an owner's calls to a worker, which renew the control lease"`
	TaskLeaseMS            int64 `json:"task_lease_ms" doc:"how long a worker keeps its tasks once the control lease has lapsed"`
	HostAnnounceMS         int64 `json:"host_announce_ms" doc:"how long an owner announces a newly listed worker before it uses it"`
	IsolationStopStartsMS  int64 `json:"isolation_stop_starts_ms" doc:"an owner that reaches neither the store nor members outside its zone stops starting tasks after this"`
	IsolationStopRenewalMS int64 `json:"isolation_stop_renewals_ms" doc:"such an owner stops renewing leases after this"`
	ProgressIntervalMS     int64 `json:"progress_interval_ms" doc:"interval of writes of a partition's progress when only completions are pending"`
	IntentsPerSecond       int64 `json:"intent_writes_per_second" doc:"maximum writes per second of a partition's progress when intents are pending"`

	StoreTimeoutMS int64 `json:"store_timeout_ms" doc:"timeout of one call to the store"`
	HostListPollMS int64 `json:"host_list_poll_ms" doc:"interval between reads of the host list"`
	NodeLeaseMS    int64 `json:"node_lease_ms" doc:"duration of the store lease of this node's address"`
	NodeRenewMS    int64 `json:"node_renew_interval_ms" doc:"interval between renewals of that lease"`
	ConfigPollMS   int64 `json:"config_poll_interval_ms" doc:"interval between reads of the configuration"`
	ConfigFreshMS  int64 `json:"config_fresh_ms" doc:"how long a confirmation of the configuration counts; at most 3000, or a revoked key works for longer than 4 s"`

	GossipIntervalMS int64 `json:"gossip_interval_ms" doc:"interval between rounds of gossip"`
	GossipFanout     int64 `json:"gossip_fanout" doc:"members called in each round"`
	GossipAllBelow   int64 `json:"gossip_all_below" doc:"with fewer members than this, all are called"`
	SuspectAfterMS   int64 `json:"suspect_after_ms" doc:"a member without a newer heartbeat is suspected after this"`
	DeadAfterMS      int64 `json:"dead_after_ms" doc:"a member without a newer heartbeat is declared dead after this"`
	OneEventWithinMS int64 `json:"one_event_within_ms" doc:"deaths in one rack or zone within this time are treated as one event"`
	TakeoverParallel int64 `json:"takeover_parallel" doc:"maximum number of control leases that the node acquires at the same time"`

	DrainMS int64 `json:"drain_ms" doc:"maximum duration of a planned stop"`
}

// Default returns the default settings. Those that are specific to a node are empty.
func Default() Settings {
	return Settings{
		PeerAddress: "127.0.0.1:7400", HTTPAddress: "127.0.0.1:7480", PlatformAddress: "127.0.0.1:7300",
		Seeds: []string{}, LogLevel: "info",
		Timing: Timing{
			ControlLeaseMS: 3_000, SyncIntervalMS: 1_000, TaskLeaseMS: 12_000, HostAnnounceMS: 2_000,
			IsolationStopStartsMS: 5_000, IsolationStopRenewalMS: 10_000, ProgressIntervalMS: 2_000, IntentsPerSecond: 20,
			StoreTimeoutMS: 500, HostListPollMS: 1_000, NodeLeaseMS: 15_000, NodeRenewMS: 5_000, ConfigPollMS: 1_000,
			ConfigFreshMS:    3_000,
			GossipIntervalMS: 500, GossipFanout: 3, GossipAllBelow: 6, SuspectAfterMS: 2_000, DeadAfterMS: 3_000,
			OneEventWithinMS: 2_000, TakeoverParallel: 16,
			DrainMS: 30_000,
		},
	}
}

// Problem is an error in a settings file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"` // from 1; 0 for the file as a whole
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error formats a problem as file:line: message.
func (p Problem) Error() string {
	if p.Line == 0 {
		return p.File + ": " + p.Message
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
}

// Load reads and checks a file. Settings that it leaves out get their defaults.
func Load(path string) (Settings, []Problem) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []Problem{{File: path, Message: err.Error()}}
	}
	return Parse(path, data)
}

// Parse reads and checks the content of a file and returns all of its problems.
func Parse(file string, data []byte) (Settings, []Problem) {
	s := Default()
	document, faults := jsonc.Parse(data)
	lines, invalidFields := map[string]int{}, map[string]bool{}
	if faults == nil {
		lines = document.MemberLines(document.Root)
		if timing, ok := jsonc.Member(document.Root, "timing"); ok {
			for name, line := range document.MemberLines(timing) {
				lines["timing."+name] = line
			}
		}
		faults = document.Decode(document.Root, &s)
	}
	var problems []Problem
	for _, f := range faults {
		invalidFields[f.Field] = true
		problems = append(problems, Problem{File: file, Line: f.Line, Field: f.Field, Message: f.Message})
	}
	if invalidFields[""] {
		return s, problems // nothing in the file could be read
	}
	for _, f := range s.check() {
		if !invalidFields[f.Field] {
			f.File, f.Line = file, lines[f.Field]
			problems = append(problems, f)
		}
	}
	return s, problems
}

// Milliseconds converts a setting to a duration.
func Milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
