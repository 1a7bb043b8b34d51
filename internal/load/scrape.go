package load

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Sample holds the metrics of a node at one time. Values are keyed by metric name with labels, without the common
// prefix.
type Sample struct {
	At     time.Time
	Values map[string]float64
}

const metricPrefix = "sequoiastall_"

// parseMetrics parses metrics in the text exposition format.
func parseMetrics(r io.Reader) (map[string]float64, error) {
	values := map[string]float64{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		if line == "" || line[0] == '#' {
			continue
		}
		at := strings.LastIndexByte(line, ' ')
		if at < 0 {
			return nil, errors.Errorf("metric line %q has no value", line)
		}
		v, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "metric line %q", line)
		}
		values[strings.TrimPrefix(line[:at], metricPrefix)] = v
	}
	return values, errors.Wrap(lines.Err(), "metrics")
}

// scrape reads the metrics of the node at an address.
func scrape(ctx context.Context, client *http.Client, address string) (Sample, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return Sample{}, errors.Wrap(err, "metrics")
	}
	response, err := client.Do(r)
	if err != nil {
		return Sample{}, errors.Wrap(err, "metrics")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Sample{}, errors.Errorf("metrics of %s: status %d", address, response.StatusCode)
	}
	at := time.Now()
	values, err := parseMetrics(response.Body)
	return Sample{At: at, Values: values}, err
}

// sum adds up the values of a metric whose labels contain all of the given ones.
func (s Sample) sum(metric string, labels ...string) float64 {
	total := 0.0
	for name, v := range s.Values {
		if base, rest, _ := strings.Cut(name, "{"); base == metric && containsAll(rest, labels) {
			total += v
		}
	}
	return total
}

func containsAll(text string, parts []string) bool {
	for _, p := range parts {
		if !strings.Contains(text, p) {
			return false
		}
	}
	return true
}
