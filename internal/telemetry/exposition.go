package telemetry

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the text exposition.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// namespace is the prefix of every exposed name.
const namespace = "sequoiastall_"

var quantiles = []float64{0.5, 0.9, 0.95, 0.99}

// labelEscapes are the escapes of the text format for label values.
var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// formatLabels returns the labels in braces, empty if there are none.
func formatLabels(labels []Label) string {
	if len(labels) == 0 {
		return ""
	}
	pairs := make([]string, len(labels))
	for i, l := range labels {
		pairs[i] = sanitize(l.Name) + `="` + labelEscapes.Replace(l.Value) + `"`
	}
	return "{" + strings.Join(pairs, ",") + "}"
}

// WriteText writes all metrics in the Prometheus text format, sorted by name and labels.
func (r *Registry) WriteText(w io.Writer) error {
	r.mu.Lock()
	collectors := slices.Clone(r.collectors)
	r.mu.Unlock()
	for _, collect := range collectors {
		collect()
	}
	r.mu.Lock()
	all := slices.Collect(maps.Values(r.series))
	r.mu.Unlock()
	slices.SortFunc(all, func(a, b *series) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(formatLabels(a.labels), formatLabels(b.labels)))
	})
	out := bufio.NewWriter(w)
	for i, s := range all {
		if i == 0 || all[i-1].name != s.name {
			fmt.Fprintf(out, "# TYPE %s%s %s\n", namespace, s.name, s.kind)
		}
		s.write(out)
	}
	return out.Flush()
}

func (s *series) write(w io.Writer) {
	labels := formatLabels(s.labels)
	switch m := s.value.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s%s%s %d\n", namespace, s.name, labels, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s%s%s %d\n", namespace, s.name, labels, m.Value())
	case *Histogram:
		recent := m.recent.Snapshot()
		for i, value := range recent.Percentiles(quantiles) {
			q := Label{"quantile", strconv.FormatFloat(quantiles[i], 'g', -1, 64)}
			fmt.Fprintf(w, "%s%s%s %s\n", namespace, s.name, formatLabels(append(slices.Clone(s.labels), q)),
				strconv.FormatFloat(value, 'g', -1, 64))
		}
		fmt.Fprintf(w, "%s%s_sum%s %d\n", namespace, s.name, labels, m.sum.Count())
		fmt.Fprintf(w, "%s%s_count%s %d\n", namespace, s.name, labels, recent.Count())
	}
}
