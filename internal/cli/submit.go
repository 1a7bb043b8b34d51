package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"sequoiastall/internal/core/job"
	"sequoiastall/internal/core/jsonc"
)

// defaultCallTimeout is the default limit on the total time of a call and its retries.
const defaultCallTimeout = 30 * time.Second

type submitFlags struct {
	clientFlags
	file    string
	key     string
	timeout time.Duration
	wait    bool
	spec    job.Spec
	payload string
	class   string
}

func newSubmit(d Dependencies) *cobra.Command {
	var f submitFlags
	cmd := &cobra.Command{
		Use:   "submit [-f FILE] [--queue QUEUE --class CLASS --tasks N --slots N ...]",
		Short: "Submit a job",
		Long: "Submits a job that is specified by flags or by a file in JSON with comments (- for stdin); flags override the fields of\n" +
			"the file. The submission is retried with the same idempotency key while its outcome is unknown or the node can't\n" +
			"accept work. If the outcome is still unknown at the timeout, submit again with the printed --idempotency-key: that\n" +
			"returns the existing job or creates it, but never creates a second one.\n\n" + clientHelp,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd, d) },
	}
	f.add(cmd)
	flags := cmd.Flags()
	flags.StringVarP(&f.file, "file", "f", "", "file with the job specification, - for stdin")
	flags.StringVar(&f.key, "idempotency-key", "", "idempotency key of the submission; random by default")
	flags.DurationVar(&f.timeout, "timeout", defaultCallTimeout, "how long the submission is retried")
	flags.BoolVar(&f.wait, "wait", false, "wait until the job has ended; the command fails if the job fails")
	flags.StringVar(&f.spec.Team, "team", "", "team that owns the job; the team of the key by default")
	flags.StringVar(&f.spec.Queue, "queue", "", "queue of the job")
	flags.StringVar(&f.spec.Name, "name", "", "descriptive name; the jobs of a queue that have the same name share learned task sizes")
	flags.StringVar(&f.class, "class", string(job.Batch), "batch, or gang if all tasks must start together")
	flags.Int32Var(&f.spec.Tasks, "tasks", 1, "number of tasks")
	flags.Int64Var(&f.spec.Resources.Slots, "slots", 1, "slots of each task")
	flags.Int64Var(&f.spec.Resources.MilliCPU, "milli-cpu", 0, "thousandths of a core of each task")
	flags.Int64Var(&f.spec.Resources.MemoryMB, "memory-mb", 0, "memory of each task in MB")
	flags.Int64Var(&f.spec.Resources.Accelerators, "accelerators", 0, "accelerators of each task")
	flags.Int64Var(&f.spec.DurationMS, "duration-ms", 0, "expected run time of a task in milliseconds, 0 if unknown")
	flags.Int64Var(&f.spec.DeadlineMS, "deadline-ms", 0, "Unix time in milliseconds by which the job should end, 0 for none")
	flags.BoolVar(&f.spec.Idempotent, "idempotent", false, "tasks may be run again after a failure")
	flags.StringVar(&f.spec.Pool, "pool", "", "hardware pool to run in")
	flags.StringVar(&f.payload, "payload", "", "text that is passed to each task")
	if err := cmd.RegisterFlagCompletionFunc("class", cobra.FixedCompletions([]string{string(job.Batch), string(job.Gang)},
		cobra.ShellCompDirectiveNoFileComp)); err != nil {
		panic(err) // fails only if the flag isn't defined
	}
	return cmd
}

func (f *submitFlags) run(cmd *cobra.Command, d Dependencies) error {
	spec, err := f.specification(cmd)
	if err != nil {
		return err
	}
	if f.timeout <= 0 {
		return exitErrorf(ExitUsage, "--timeout must be positive")
	}
	if f.key == "" {
		f.key = rand.Text()
	}
	client, done, err := f.client(d)
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	status, err := client.Submit(ctx, f.key, spec)
	if err != nil {
		return callError("submit with --idempotency-key "+f.key, err)
	}
	if !f.wait {
		return printJob(cmd, status)
	}
	return waitJob(cmd, client, status.ID)
}

// specification returns the job specification from the file, overridden by the flags that were given.
func (f *submitFlags) specification(cmd *cobra.Command) (job.Spec, error) {
	f.spec.Class = job.Class(f.class)
	if cmd.Flags().Changed("payload") {
		f.spec.Payload = []byte(f.payload)
	}
	if f.file == "" {
		if f.spec.Queue == "" {
			return job.Spec{}, exitErrorf(ExitUsage, "no queue: pass --queue or -f FILE")
		}
		return f.spec, nil
	}
	spec, err := readSpec(cmd, f.file)
	if err != nil {
		return job.Spec{}, err
	}
	for name, override := range map[string]func(){
		"team":         func() { spec.Team = f.spec.Team },
		"queue":        func() { spec.Queue = f.spec.Queue },
		"name":         func() { spec.Name = f.spec.Name },
		"class":        func() { spec.Class = f.spec.Class },
		"tasks":        func() { spec.Tasks = f.spec.Tasks },
		"slots":        func() { spec.Resources.Slots = f.spec.Resources.Slots },
		"milli-cpu":    func() { spec.Resources.MilliCPU = f.spec.Resources.MilliCPU },
		"memory-mb":    func() { spec.Resources.MemoryMB = f.spec.Resources.MemoryMB },
		"accelerators": func() { spec.Resources.Accelerators = f.spec.Resources.Accelerators },
		"duration-ms":  func() { spec.DurationMS = f.spec.DurationMS },
		"deadline-ms":  func() { spec.DeadlineMS = f.spec.DeadlineMS },
		"idempotent":   func() { spec.Idempotent = f.spec.Idempotent },
		"pool":         func() { spec.Pool = f.spec.Pool },
		"payload":      func() { spec.Payload = f.spec.Payload },
	} {
		if cmd.Flags().Changed(name) {
			override()
		}
	}
	return spec, nil
}

// fileSpec is the format of a job specification in a file. Unlike in job.Spec, the payload is text.
type fileSpec struct {
	Team       string        `json:"team"`
	Queue      string        `json:"queue"`
	Name       string        `json:"name"`
	Class      string        `json:"class"`
	Tasks      int32         `json:"tasks"`
	Resources  fileResources `json:"resources"`
	DurationMS int64         `json:"duration_ms"`
	DeadlineMS int64         `json:"deadline_ms"`
	Idempotent bool          `json:"idempotent"`
	Pool       string        `json:"pool"`
	Payload    string        `json:"payload"`
}

type fileResources struct {
	Slots        int64 `json:"slots"`
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// readSpec reads a job specification from a file. Unknown fields are errors; all problems are printed with their lines.
func readSpec(cmd *cobra.Command, file string) (job.Spec, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(cmd.InOrStdin())
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return job.Spec{}, &ExitError{Code: ExitUsage, Err: errors.Wrap(err, "read job specification")}
	}
	s := fileSpec{Class: string(job.Batch), Tasks: 1}
	document, problems := jsonc.Parse(data)
	if problems == nil {
		problems = document.Decode(document.Root, &s)
	}
	for _, p := range problems {
		fmt.Fprintf(cmd.ErrOrStderr(), "%s:%d: %s\n", file, p.Line, p.Message)
	}
	if len(problems) > 0 {
		return job.Spec{}, exitErrorf(ExitInvalid, "%d problems in %s; nothing was submitted", len(problems), file)
	}
	spec := job.Spec{Team: s.Team, Queue: s.Queue, Name: s.Name, Class: job.Class(s.Class), Tasks: s.Tasks,
		DurationMS: s.DurationMS, DeadlineMS: s.DeadlineMS, Idempotent: s.Idempotent, Pool: s.Pool, Payload: []byte(s.Payload)}
	spec.Resources.Slots, spec.Resources.MilliCPU = s.Resources.Slots, s.Resources.MilliCPU
	spec.Resources.MemoryMB, spec.Resources.Accelerators = s.Resources.MemoryMB, s.Resources.Accelerators
	return spec, nil
}
