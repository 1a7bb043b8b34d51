package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/gateway"
)

// cellStatus is the JSON output of status.
type cellStatus struct {
	Nodes      []gateway.NodeView      `json:"nodes"`
	Partitions []gateway.PartitionView `json:"partitions"`
	Teams      []gateway.TeamView      `json:"teams"`
	Queues     []gateway.QueueView     `json:"queues"`
	Jobs       gateway.JobList         `json:"jobs"`
}

func newStatus(d Dependencies) *cobra.Command {
	var f clientFlags
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of the cell from the view of one node",
		Long: "Shows the ingress nodes with their state, revision in force and partitions; the partitions; the teams with their share,\n" +
			"limit, running and waiting slots; the queues; and the jobs of the key's team with the reason why they wait.\n\n" + clientHelp,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, done, err := f.client(d)
			if err != nil {
				return err
			}
			defer done()
			s, err := readStatus(cmd.Context(), client)
			if err != nil {
				return queryError("status", err)
			}
			if wantsJSON(cmd) {
				return printJSON(cmd.OutOrStdout(), s)
			}
			return s.print(cmd.OutOrStdout(), d.Now())
		},
	}
	f.add(cmd)
	return cmd
}

func readStatus(ctx context.Context, c *callerclient.Client) (s cellStatus, err error) {
	if s.Nodes, err = c.Nodes(ctx); err != nil {
		return s, err
	}
	if s.Partitions, err = c.Partitions(ctx); err != nil {
		return s, err
	}
	if s.Teams, err = c.Teams(ctx); err != nil {
		return s, err
	}
	if s.Queues, err = c.Queues(ctx); err != nil {
		return s, err
	}
	s.Jobs, err = c.Jobs(ctx)
	return s, err
}

func (s cellStatus) print(w io.Writer, now time.Time) error {
	for i, section := range []struct {
		header []string
		rows   [][]string
	}{
		{[]string{"NODE", "ZONE", "HTTP", "STATE", "REVISION", "PARTITIONS"}, s.nodeRows()},
		{[]string{"PARTITION", "OWNER", "SETTLED", "WORKERS", "SLOTS", "FREE"}, s.partitionRows()},
		{[]string{"TEAM", "SHARE", "LIMIT", "RUNNING", "BACKLOG"}, s.teamRows()},
		{[]string{"QUEUE", "CLASS", "TEAM", "PENDING", "RUNNING"}, s.queueRows()},
		{[]string{"JOB", "QUEUE", "PHASE", "AGE", "TASKS", "PENDING", "RUNNING", "WAITS BECAUSE"}, s.jobRows(now)},
	} {
		if i > 0 {
			fmt.Fprintln(w)
		}
		if err := printTable(w, section.header, section.rows); err != nil {
			return err
		}
	}
	if omitted := s.Jobs.Total - len(s.Jobs.Jobs); omitted > 0 {
		_, err := fmt.Fprintf(w, "and %d more jobs\n", omitted)
		return err
	}
	return nil
}

func (s cellStatus) nodeRows() (rows [][]string) {
	for _, n := range s.Nodes {
		rows = append(rows, []string{n.ID, n.Zone, n.Address, n.State, strconv.FormatInt(n.Revision, 10), strings.Join(n.Partitions, ",")})
	}
	return rows
}

func (s cellStatus) partitionRows() (rows [][]string) {
	for _, p := range s.Partitions {
		owner, settled := p.Owner, "no"
		if owner == "" {
			owner = "none"
		}
		if p.Settled {
			settled = "yes"
		}
		rows = append(rows, []string{p.Name, owner, settled, strconv.Itoa(int(p.Workers)), strconv.FormatInt(p.Capacity.Slots, 10),
			strconv.FormatInt(p.Free.Slots, 10)})
	}
	return rows
}

// teamRows returns a row for each team, with its share as a percentage of all weights.
func (s cellStatus) teamRows() (rows [][]string) {
	totalWeight := 0.0
	for _, t := range s.Teams {
		totalWeight += t.Weight
	}
	for _, t := range s.Teams {
		limit := "none"
		if t.Limited {
			limit = strconv.FormatInt(t.Limit, 10)
		}
		rows = append(rows, []string{t.Name, fmt.Sprintf("%.1f%%", 100*t.Weight/max(totalWeight, t.Weight)), limit,
			strconv.FormatInt(t.Running, 10), strconv.FormatInt(t.Backlog, 10)})
	}
	return rows
}

func (s cellStatus) queueRows() (rows [][]string) {
	for _, q := range s.Queues {
		team := q.Team
		if q.Open {
			team = "(open)"
		}
		rows = append(rows, []string{q.Name, q.Class, team, strconv.FormatInt(q.Pending, 10), strconv.FormatInt(q.Running, 10)})
	}
	return rows
}

func (s cellStatus) jobRows(now time.Time) (rows [][]string) {
	for _, j := range s.Jobs.Jobs {
		rows = append(rows, []string{string(j.ID), j.Queue, string(j.Phase), formatAge(now.Sub(time.UnixMilli(j.SubmittedMS))),
			strconv.Itoa(int(j.Tasks)), strconv.Itoa(int(j.Pending)), strconv.Itoa(int(j.Running)), j.Waiting})
	}
	return rows
}
