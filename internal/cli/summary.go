package cli

import (
	"fmt"
	"io"
	"strconv"

	"sequoiastall/internal/demo"
)

// maxShownViolations limits the violations in the summary to keep it readable; the JSON output contains all.
const maxShownViolations = 20

func printSummary(w io.Writer, r demo.Report) error {
	fmt.Fprintf(w, "%d ingress nodes, %d workers with %d slots; tasks waited for %.1f s\n\n", r.Nodes, r.Workers, r.Capacity.Slots,
		float64(r.TookMS)/1000)
	ms := func(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }
	percent := func(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) + "%" }
	var rows [][]string
	for _, x := range r.Waiting {
		rows = append(rows, []string{x.Class, strconv.Itoa(x.Jobs), strconv.Itoa(x.Tasks), strconv.Itoa(x.Runs), ms(x.P50MS), ms(x.P99MS)})
	}
	fmt.Fprintln(w, "Waiting of tasks from submission to their first start, in milliseconds")
	if err := printTable(w, []string{"CLASS", "JOBS", "TASKS", "RUNS", "P50", "P99"}, rows); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nPacking while tasks waited: %s of all slots, %s of the slots of workers in use; peak %s\n\n",
		percent(r.Packing.MeanPercent), percent(r.Packing.HostPercent), percent(r.Packing.PeakPercent))
	rows = nil
	for _, t := range r.Teams {
		limit := "none"
		if t.Limit > 0 {
			limit = strconv.FormatInt(t.Limit, 10)
		}
		rows = append(rows, []string{t.Team, percent(t.SharePercent), percent(t.MeanPercent), ms(t.Mean), strconv.FormatInt(t.Peak, 10), limit})
	}
	fmt.Fprintln(w, "Slots of teams while tasks waited, services included")
	if err := printTable(w, []string{"TEAM", "SHARE", "USE", "MEAN", "PEAK", "LIMIT"}, rows); err != nil {
		return err
	}
	rows = nil
	for _, x := range r.Requests {
		kind := "not idempotent"
		if x.Idempotent {
			kind = "idempotent"
		}
		rows = append(rows, []string{kind, x.Outcome, x.Code, strconv.Itoa(x.Count), ms(x.P50MS), ms(x.P99MS)})
	}
	fmt.Fprintln(w, "\nTries of requests, latency in milliseconds; a try that was not run is repeated")
	if err := printTable(w, []string{"KIND", "OUTCOME", "CODE", "TRIES", "P50", "P99"}, rows); err != nil {
		return err
	}
	return printViolations(w, r.Broken)
}

func printViolations(w io.Writer, violations []string) error {
	if len(violations) == 0 {
		_, err := fmt.Fprintln(w, "\nAll guarantees were met: every task ran to its end once, no worker or team exceeded its bound,\n"+
			"every caller got its own answer, no node counted a violation.")
		return err
	}
	fmt.Fprintf(w, "\n%d guarantees were violated:\n", len(violations))
	for _, violation := range violations[:min(len(violations), maxShownViolations)] {
		fmt.Fprintln(w, "  "+violation)
	}
	if omitted := len(violations) - maxShownViolations; omitted > 0 {
		fmt.Fprintf(w, "  and %d more; -o json shows all\n", omitted)
	}
	return nil
}
