package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// maxTiming is the largest value of any timing setting, whatever its unit. For milliseconds it is a week.
const maxTiming = 7 * 24 * 3600 * 1000

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

func (s Settings) check() []Problem {
	var problems []Problem
	report := func(field, format string, args ...any) {
		problems = append(problems, Problem{Field: field, Message: field + ": " + fmt.Sprintf(format, args...)})
	}
	for _, f := range []struct{ field, value string }{{"node_id", s.NodeID}, {"zone", s.Zone}, {"region", s.Region}} {
		if f.value == "" {
			report(f.field, "missing")
		} else if !namePattern.MatchString(f.value) {
			report(f.field, "%q must consist of at most 63 lower-case letters, digits, '.', '_' and '-', and start and end with a letter or digit", f.value)
		}
	}
	for _, f := range []struct{ field, value string }{
		{"peer_address", s.PeerAddress}, {"http_address", s.HTTPAddress}, {"platform_address", s.PlatformAddress},
	} {
		if message := addressProblem(f.value); message != "" {
			report(f.field, "%s", message)
		}
	}
	// For port 0 the system chooses a different port for each address.
	if s.PeerAddress == s.HTTPAddress && !strings.HasSuffix(s.HTTPAddress, ":0") {
		report("http_address", "is the same as peer_address")
	}
	for i, seed := range s.Seeds {
		if message := addressProblem(seed); message != "" {
			report("seeds", "entry %d: %s", i+1, message)
		}
	}
	if levels := []string{"debug", "info", "warn", "error"}; !slices.Contains(levels, s.LogLevel) {
		report("log_level", "%q is not one of %s", s.LogLevel, strings.Join(levels, ", "))
	}
	s.Timing.check(report)
	return problems
}

func addressProblem(address string) string {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return fmt.Sprintf("%q is not an IP address and port", address)
	case a.Addr().IsUnspecified():
		return fmt.Sprintf("%q is the unspecified address, which others can't connect to", address)
	}
	return ""
}

func (t Timing) check(report func(field, format string, args ...any)) {
	v := reflect.ValueOf(t)
	values := map[string]int64{}
	for i := range v.NumField() {
		name, value := v.Type().Field(i).Tag.Get("json"), v.Field(i).Int()
		values[name] = value
		least := int64(1)
		if name == "host_announce_ms" {
			least = 0
		}
		if value < least || value > maxTiming {
			report("timing."+name, "%d is out of range, must be from %d to %d", value, least, maxTiming)
		}
	}
	for _, order := range []struct{ lower, higher string }{
		{"sync_interval_ms", "control_lease_ms"},
		{"suspect_after_ms", "dead_after_ms"},
		{"gossip_interval_ms", "suspect_after_ms"},
		{"isolation_stop_starts_ms", "isolation_stop_renewals_ms"},
		{"node_renew_interval_ms", "node_lease_ms"},
		{"config_poll_interval_ms", "config_fresh_ms"},
	} {
		if values[order.lower] >= values[order.higher] {
			report("timing."+order.lower, "%d must be less than %s, %d", values[order.lower], order.higher, values[order.higher])
		}
	}
	if t.ConfigFreshMS > 3000 {
		report("timing.config_fresh_ms", "%d is more than 3000, with which a revoked key works for longer than 4 s", t.ConfigFreshMS)
	}
}
