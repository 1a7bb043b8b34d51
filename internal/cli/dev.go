package cli

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/examples"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/demo"
	"sequoiastall/internal/dev"
)

// maxDevNodes is the maximum of --nodes: all nodes run in one process, so the cell must stay small.
const maxDevNodes = 32

type devFlags struct {
	set            string
	nodes          int
	workersPerZone int
	httpBase       int
	demo           bool
	requests       int
	seed           uint64
	log            string
}

// NewDevCommand returns the command that runs a whole cell in one process.
func NewDevCommand() *cobra.Command {
	var f devFlags
	c := &cobra.Command{
		Use:   "dev",
		Short: "Run a small cell in one process on loopback",
		Long: "Runs the platform stand-in, workers and ingress nodes in one process on loopback until SIGTERM, and prints their\n" +
			"addresses. With --demo, it instead runs requests and jobs of every class for some seconds, checks that the\n" +
			"scheduler kept its guarantees, prints a summary and exits. The sample sets " + strings.Join(examples.Names(), " and ") + " are\n" +
			"embedded in the binary; the secret of their key K is example-K.\n\n" + exitHelp,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runDev(cmd, f) },
	}
	flags := c.Flags()
	flags.StringVar(&f.set, "set", "examples/gatecare", "directory of the objects to publish, or name of a sample set")
	flags.IntVar(&f.nodes, "nodes", 7, "number of ingress nodes")
	flags.IntVar(&f.workersPerZone, "workers-per-zone", 12, "number of workers in each zone")
	flags.IntVar(&f.httpBase, "http-base", 0, "HTTP port of the first node; the other nodes use the following ports; 0 for any free ports")
	flags.BoolVar(&f.demo, "demo", false, "run the demonstration and exit")
	flags.IntVar(&f.requests, "requests", 80, "number of requests to each service in the demonstration")
	flags.Uint64Var(&f.seed, "seed", 1, "random seed for the run times and delays of the demonstration")
	flags.StringVar(&f.log, "log", "", "file for the JSON logs of all nodes and workers; empty for no logs")
	// Shell completion offers the names of the sample sets in addition to directories.
	if err := c.RegisterFlagCompletionFunc("set", func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return examples.Names(), cobra.ShellCompDirectiveDefault
	}); err != nil {
		panic(err) // fails only if the flag isn't defined
	}
	return c
}

func (f devFlags) check() error {
	for _, flag := range []struct {
		name                   string
		value, lowest, highest int
	}{
		{"--nodes", f.nodes, 1, maxDevNodes}, {"--workers-per-zone", f.workersPerZone, 1, 64},
		{"--http-base", f.httpBase, 0, 65535 - maxDevNodes}, {"--requests", f.requests, 1, 10_000},
	} {
		if flag.value < flag.lowest || flag.value > flag.highest {
			return exitErrorf(ExitUsage, "%s is %d, must be %d to %d", flag.name, flag.value, flag.lowest, flag.highest)
		}
	}
	return nil
}

func runDev(cmd *cobra.Command, f devFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	set, err := loadDirectoryOrSample(cmd, f.set)
	if err != nil {
		return err
	}
	log, closeLog, err := openLog(f.log)
	if err != nil {
		return err
	}
	defer closeLog()
	if f.demo {
		return runDemo(cmd, f, set, log)
	}
	o := dev.DefaultOptions(set)
	o.Nodes, o.WorkersPerZone, o.HTTPBase, o.Log, o.LogLevel = f.nodes, f.workersPerZone, f.httpBase, log, slog.LevelInfo
	cell, err := dev.Start(o)
	if err != nil {
		return err
	}
	defer cell.Stop()
	if err := printCell(cmd, cell); err != nil {
		return err
	}
	<-cmd.Context().Done()
	return nil
}

// openLog creates the log file. Without a file name, log lines are discarded.
func openLog(file string) (io.Writer, func(), error) {
	if file == "" {
		return io.Discard, func() {}, nil
	}
	w, err := os.Create(file)
	if err != nil {
		return nil, nil, errors.Wrap(err, "create log file")
	}
	return w, func() { _ = w.Close() }, nil // the log is informational, so an error on closing it is ignored
}

// loadDirectoryOrSample reads the set in a directory, or an embedded sample set if the directory doesn't exist.
func loadDirectoryOrSample(cmd *cobra.Command, name string) (object.Set, error) {
	if _, err := os.Stat(name); err == nil || !errors.Is(err, os.ErrNotExist) {
		return loadSet(cmd, name)
	}
	slashPath := filepath.ToSlash(name)
	sample := path.Base(slashPath)
	if !slices.Contains([]string{sample, "examples/" + sample}, path.Clean(slashPath)) || !slices.Contains(examples.Names(), sample) {
		return object.Set{}, exitErrorf(ExitInvalid, "%s is neither a directory nor a sample set (%s)", name, strings.Join(examples.Names(), ", "))
	}
	files, err := examples.Files(sample)
	if err != nil {
		return object.Set{}, err
	}
	return validateFiles(cmd, name, files)
}

// devAddresses is the JSON output of dev.
type devAddresses struct {
	Platform string    `json:"platform"`
	Nodes    []devNode `json:"nodes"`
}

type devNode struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	HTTP string `json:"http"`
	Peer string `json:"peer"`
}

func printCell(cmd *cobra.Command, cell *dev.Cell) error {
	out := devAddresses{Platform: cell.PlatformAddress()}
	var rows [][]string
	for _, n := range cell.Nodes {
		node := devNode{n.ID, n.Zone, n.Server.HTTPAddress(), n.Server.PeerAddress()}
		out.Nodes = append(out.Nodes, node)
		rows = append(rows, []string{node.ID, node.Zone, node.HTTP, node.Peer})
	}
	if wantsJSON(cmd) {
		return printJSON(cmd.OutOrStdout(), out)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "platform (store and host list): %s\n%d workers\n\n", out.Platform, len(cell.Capacity()))
	if err := printTable(cmd.OutOrStdout(), []string{"NODE", "ZONE", "HTTP", "PEER"}, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "\nRuns until SIGTERM or SIGINT. For example:\n  SEQUOIASTALL_NODE=%s SEQUOIASTALL_KEY=SECRET sequoiastall status\n", out.Nodes[0].HTTP)
	return err
}

// runDemo runs the demonstration with its progress on stderr and fails if a guarantee was violated.
func runDemo(cmd *cobra.Command, f devFlags, set object.Set, log io.Writer) error {
	start := time.Now()
	report, err := demo.Run(cmd.Context(), demo.Options{Set: set, Nodes: f.nodes, WorkersPerZone: f.workersPerZone,
		Requests: f.requests, Seed: f.seed, Log: log, Progress: func(step string) {
			fmt.Fprintf(cmd.ErrOrStderr(), "%4.1f s  %s\n", time.Since(start).Seconds(), step)
		}})
	if err != nil {
		return err
	}
	if wantsJSON(cmd) {
		err = printJSON(cmd.OutOrStdout(), report)
	} else {
		err = printSummary(cmd.OutOrStdout(), report)
	}
	if err == nil && len(report.Broken) > 0 {
		err = exitErrorf(ExitFailure, "%d guarantees were violated", len(report.Broken))
	}
	return err
}
