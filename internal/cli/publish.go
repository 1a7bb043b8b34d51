package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/port"
)

const (
	defaultPlatform       = "127.0.0.1:7300"
	defaultRolloutTimeout = 4 * time.Second // default of --wait
	nodePollInterval      = 200 * time.Millisecond
)

type publishOptions struct {
	platform         string
	expectedRevision int64
	wait             time.Duration
	dryRun           bool
}

// publishReport is the JSON output of publish.
type publishReport struct {
	Published bool            `json:"published"`
	Base      int64           `json:"base_revision"`
	Revision  int64           `json:"revision"`
	Changes   []object.Change `json:"changes"`
	Nodes     []nodeRollout   `json:"nodes,omitempty"`
}

// nodeRollout reports whether a revision is in force at a node, and after how long it was first seen there.
type nodeRollout struct {
	NodeRevision
	InForce bool  `json:"in_force"`
	AfterMS int64 `json:"after_ms,omitempty"`
}

func newPublish(d Dependencies) *cobra.Command {
	var o publishOptions
	cmd := &cobra.Command{
		Use:   "publish DIR",
		Short: "Publish the objects in a directory",
		Long: "Validates the objects in a directory, shows the difference from the published set and replaces that set as a whole.\n" +
			"Of two concurrent publications, one fails with a conflict. The command then waits until the revision is in force at\n" +
			"every node, and fails if that takes longer than --wait.\n\n" + exitHelp,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if o.wait < 0 || o.expectedRevision < 0 {
				return exitErrorf(ExitUsage, "--wait and --expect-revision must not be negative")
			}
			return publish(cmd, d, o, args[0])
		},
	}
	cmd.Flags().StringVar(&o.platform, "platform", defaultPlatform, "IP:port of the platform")
	cmd.Flags().Int64Var(&o.expectedRevision, "expect-revision", 0, "publish only if this is the published revision; an explicit 0 requires that none is published yet")
	cmd.Flags().DurationVar(&o.wait, "wait", defaultRolloutTimeout, "maximum time to wait for the nodes; 0 to not wait")
	cmd.Flags().BoolVar(&o.dryRun, "dry-run", false, "only show the difference")
	return cmd
}

func publish(cmd *cobra.Command, d Dependencies, o publishOptions, dir string) error {
	ctx := cmd.Context()
	set, err := loadSet(cmd, dir)
	if err != nil {
		return err
	}
	store, closeStore, err := d.store(o.platform)
	if err != nil {
		return err
	}
	defer func() { _ = closeStore() }() // the connection is no longer needed, so an error on closing is ignored
	base, err := readPublished(ctx, store)
	if err != nil {
		return err
	}
	if cmd.Flags().Changed("expect-revision") && base.document.Revision != o.expectedRevision {
		return exitErrorf(ExitConflict, "publish: conflict: revision %d is published, expected %d; nothing was changed", base.document.Revision, o.expectedRevision)
	}
	report := publishReport{Base: base.document.Revision, Revision: base.document.Revision, Changes: object.Diff(base.set, set)}
	if len(report.Changes) > 0 && !o.dryRun {
		document, err := configuration.NewDocument(set, base.document.Revision+1, rand.Text())
		if err != nil {
			return err
		}
		p := publication{store: store, sleep: d.Sleep, base: base, document: document}
		if err := p.write(ctx); err != nil {
			return err
		}
		report.Published, report.Revision = true, document.Revision
	}
	var rolloutErr error
	if !o.dryRun && o.wait > 0 && d.Nodes != nil && report.Revision > 0 {
		report.Nodes, rolloutErr = d.waitForRollout(ctx, store, report.Revision, o.wait)
	}
	if err := printReport(cmd, report, o.dryRun); err != nil {
		return err
	}
	return rolloutErr
}

// waitForRollout polls the nodes until the revision, or a newer one, is in force at each of them, or until the wait is over.
func (d Dependencies) waitForRollout(ctx context.Context, store port.Store, revision int64, wait time.Duration) ([]nodeRollout, error) {
	start := d.Now()
	firstSeenMS := map[string]int64{} // by node
	for {
		nodes, err := d.Nodes.Revisions(ctx, store)
		elapsed := d.Now().Sub(start)
		var rollouts []nodeRollout
		var pending []string
		for _, n := range nodes {
			_, seen := firstSeenMS[n.Node]
			inForce := n.Error == "" && n.Revision >= revision
			if inForce && !seen {
				firstSeenMS[n.Node] = elapsed.Milliseconds()
			}
			if !inForce {
				pending = append(pending, n.Node)
			}
			rollouts = append(rollouts, nodeRollout{NodeRevision: n, InForce: inForce, AfterMS: firstSeenMS[n.Node]})
		}
		if err == nil && len(pending) == 0 {
			return rollouts, nil
		}
		if elapsed >= wait || d.Sleep(ctx, nodePollInterval) != nil {
			if err != nil {
				return rollouts, exitErrorf(ExitFailure, "revision %d is published, but the nodes can't be queried: %v", revision, err)
			}
			return rollouts, exitErrorf(ExitFailure, "revision %d is published, but not known to be in force after %s at: %s", revision, wait, strings.Join(pending, ", "))
		}
	}
}

func printReport(cmd *cobra.Command, r publishReport, dryRun bool) error {
	w := cmd.OutOrStdout()
	if wantsJSON(cmd) {
		if r.Changes == nil {
			r.Changes = []object.Change{}
		}
		return printJSON(w, r)
	}
	if len(r.Changes) > 0 {
		if err := printChanges(w, r.Changes); err != nil {
			return err
		}
	}
	switch {
	case len(r.Changes) == 0:
		fmt.Fprintf(w, "no changes; revision %d is published\n", r.Revision)
	case dryRun:
		fmt.Fprintf(w, "dry run: %d changes to revision %d, nothing was published\n", len(r.Changes), r.Base)
	default:
		fmt.Fprintf(w, "published revision %d\n", r.Revision)
	}
	return printRollout(w, r.Nodes)
}

func printRollout(w io.Writer, nodes []nodeRollout) error {
	if len(nodes) == 0 {
		return nil
	}
	var rows [][]string
	for _, n := range nodes {
		state := "in force after " + (time.Duration(n.AfterMS) * time.Millisecond).String()
		if !n.InForce {
			state = strings.TrimSpace("not in force " + n.Error)
		}
		rows = append(rows, []string{n.Node, strconv.FormatInt(n.Revision, 10), state})
	}
	return printTable(w, []string{"NODE", "REVISION", "STATE"}, rows)
}
