// Package load generates load on a cell and measures the cost of its control plane. Every node runs in a process of its
// own. The simulated workers run in other processes, so that their cost isn't attributed to the nodes.
package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/core/configuration"
	"sequoiastall/internal/core/object"
	"sequoiastall/internal/gateway"
	"sequoiastall/internal/platform"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/connection"
	"sequoiastall/internal/settings"
	"sequoiastall/internal/wait"
)

// Time limits for starting and stopping a cell, and the interval at which its state is polled.
const (
	startTimeout = 60 * time.Second
	stopTimeout  = 8 * time.Second
	pollInterval = 100 * time.Millisecond
)

// nodeRef refers to a node of the cell. process is nil for a node that this tool didn't start.
type nodeRef struct {
	id      string
	address string // IP:port of the HTTP interface for callers
	process *process
}

// process is a process that this tool started.
type process struct {
	command *exec.Cmd
	logPath string // file with the output of the process
	exited  chan struct{}
}

// cell is the cell under load.
type cell struct {
	platformAddress string
	store           *platform.Client
	http            *http.Client
	nodes           []*nodeRef
	workers         []*process
	platformProcess *process // the platform stand-in
	directory       string
	keepDirectory   bool // don't remove the directory at the end
	binary          string
	shape           Shape
	options         Options
}

// startProcess starts this binary with the given arguments. The output goes to a log file.
func (c *cell) startProcess(name string, args ...string) (*process, error) {
	path := filepath.Join(c.directory, name+".log")
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	defer func() { _ = file.Close() }()
	command := exec.Command(c.binary, args...)
	command.Stdout, command.Stderr = file, file
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	p := &process{command: command, logPath: path, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// stop ends a process gracefully, and kills it if it takes longer than stopTimeout.
func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// logLine holds the fields of a log line that the tool reads.
type logLine struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	Action    string    `json:"action"`
	Decision  string    `json:"decision"`
	Partition string    `json:"partition"`
	Address   string    `json:"address"`
	Revision  int64     `json:"revision"`
	Task      string    `json:"task"`
}

// scanLog calls f with each line of the log that contains a word, until f returns false.
func (p *process) scanLog(word string, f func(logLine) bool) error {
	file, err := os.Open(p.logPath)
	if err != nil {
		return errors.Wrap(err, "log file")
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(make([]byte, 64<<10), 4<<20)
	for scanner.Scan() {
		var l logLine
		if !strings.Contains(scanner.Text(), word) || json.Unmarshal(scanner.Bytes(), &l) != nil {
			continue
		}
		if !f(l) {
			return nil
		}
	}
	return errors.Wrap(scanner.Err(), "log file")
}

// startCell starts the platform, the workers and the nodes, and publishes the generated object set.
func startCell(ctx context.Context, o Options) (*cell, error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "path of the executable")
	}
	c := &cell{binary: binary, directory: o.Directory, keepDirectory: o.Directory != "", shape: o.Shape, options: o, http: newHTTPClient()}
	if !c.keepDirectory {
		if c.directory, err = os.MkdirTemp("", "sequoiastall-load-"); err != nil {
			return nil, errors.Wrap(err, "directory for logs")
		}
	}
	if err := c.startAll(ctx, o); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func newHTTPClient() *http.Client {
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

func (c *cell) startAll(ctx context.Context, o Options) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if c.platformProcess, err = c.startProcess("platform", "platform", "--listen", "127.0.0.1:0"); err != nil {
		return err
	}
	for c.platformAddress == "" {
		_ = c.platformProcess.scanLog("listening", func(l logLine) bool { c.platformAddress = l.Address; return false })
		if c.platformAddress == "" && !wait.For(ctx, pollInterval) {
			return errors.Wrap(ctx.Err(), "platform stand-in didn't start")
		}
	}
	if c.store, err = platform.New(c.platformAddress, connection.Options{}); err != nil {
		return err
	}
	if err := c.startWorkers(o); err != nil {
		return err
	}
	if err := c.publish(ctx, o.Shape); err != nil {
		return err
	}
	for i := range o.Nodes {
		if err := c.startNode(i); err != nil {
			return err
		}
	}
	if err := c.findNodes(ctx, o.Nodes); err != nil {
		return err
	}
	return c.awaitOwners(ctx)
}

// startWorkers starts one process for each zone, which runs all workers of the zone.
func (c *cell) startWorkers(o Options) error {
	for z := range o.Shape.Zones {
		count := o.Shape.Workers / o.Shape.Zones
		if z < o.Shape.Workers%o.Shape.Zones {
			count++
		}
		if count == 0 {
			continue
		}
		name := "workers-" + zoneName(z)
		p, err := c.startProcess(name, "worker", "--zone", zoneName(z), "--count", fmt.Sprint(count), "--platform", c.platformAddress,
			"--slots", fmt.Sprint(o.Shape.Slots), "--milli-cpu", fmt.Sprint(o.Shape.Slots*2000),
			"--memory-mb", fmt.Sprint(o.Shape.Slots*4096), "--connections", fmt.Sprint(o.Shape.Slots*8),
			"--run-log", c.runLogPath(name))
		if err != nil {
			return err
		}
		c.workers = append(c.workers, p)
	}
	return nil
}

func (c *cell) runLogPath(name string) string { return filepath.Join(c.directory, name+".runs") }

func (c *cell) startNode(i int) error {
	s := settings.Default()
	s.NodeID, s.Zone, s.Region = fmt.Sprintf("node%02d", i), zoneName(i%c.shape.Zones), "one"
	s.PlatformAddress, s.PeerAddress, s.HTTPAddress = c.platformAddress, "127.0.0.1:0", "127.0.0.1:0"
	data, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	path := filepath.Join(c.directory, s.NodeID+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	p, err := c.startProcess(s.NodeID, "serve", "--settings", path)
	if err != nil {
		return err
	}
	c.nodes = append(c.nodes, &nodeRef{id: s.NodeID, process: p})
	return nil
}

// checkProcesses returns an error with the end of the log if a process has exited unexpectedly.
func (c *cell) checkProcesses() error {
	all := append([]*process{c.platformProcess}, c.workers...)
	for _, n := range c.nodes {
		all = append(all, n.process)
	}
	for _, p := range all {
		if p == nil {
			continue
		}
		select {
		case <-p.exited:
			data, _ := os.ReadFile(p.logPath)
			const shown = 500
			return errors.Errorf("%s exited: %s", filepath.Base(p.logPath), data[max(0, len(data)-shown):])
		default:
		}
	}
	return nil
}

// publish writes a generated object set to the store as the next revision.
func (c *cell) publish(ctx context.Context, s Shape) error {
	set, problems := object.Validate(s.Files())
	if len(problems) > 0 {
		return errors.Errorf("generated objects: %v", problems[0])
	}
	w := port.Write{Key: port.ConfigKey, Condition: port.IfAbsent}
	revision := int64(1)
	entry, err := c.store.Get(ctx, port.ConfigKey)
	switch {
	case err == nil:
		current, err := configuration.Unmarshal(entry.Value)
		if err != nil {
			return err
		}
		w.Condition, w.Revision, revision = port.IfRevision, entry.Revision, current.Revision+1
	case !errors.Is(err, port.ErrNotFound):
		return err
	}
	d, err := configuration.NewDocument(set, revision, "load")
	if err != nil {
		return err
	}
	if w.Value, err = d.Marshal(); err != nil {
		return err
	}
	_, err = c.store.Put(ctx, w)
	return errors.Wrap(err, "publish")
}

// findNodes reads the nodes' addresses from their registrations in the store.
func (c *cell) findNodes(ctx context.Context, count int) error {
	for {
		entries, _, err := c.store.Range(ctx, port.NodePrefix)
		if err == nil && len(entries) >= count {
			return c.applyRegistrations(entries)
		}
		if err := c.checkProcesses(); err != nil {
			return err
		}
		if !wait.For(ctx, pollInterval) {
			return errors.Errorf("%d of %d nodes have registered: %v", len(entries), count, err)
		}
	}
}

func (c *cell) applyRegistrations(entries []port.Entry) error {
	known := map[string]*nodeRef{}
	for _, n := range c.nodes {
		known[n.id] = n
	}
	for _, e := range entries {
		var r struct {
			HTTPAddress string `json:"http_address"`
		}
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return errors.Wrapf(err, "registration %s", e.Key)
		}
		id := e.Key[len(port.NodePrefix):]
		if known[id] == nil {
			known[id] = &nodeRef{id: id}
			c.nodes = append(c.nodes, known[id])
		}
		known[id].address = r.HTTPAddress
	}
	return nil
}

// ownersStableTime is how long the number of owned partitions has to stay unchanged. Partitions without racks never get
// an owner.
const ownersStableTime = 3 * time.Second

// awaitOwners waits until every partition with workers has an owner that holds some of them: until all partitions have
// owners, or their number has been stable for ownersStableTime.
func (c *cell) awaitOwners(ctx context.Context) error {
	wanted := c.shape.Zones * c.shape.PartitionsPerZone
	most, since := 0, time.Now()
	for {
		views, err := c.nodeViews(ctx)
		found := map[string]bool{}
		for _, v := range views {
			for _, p := range v.Partitions {
				found[p] = true
			}
		}
		if len(found) > most {
			most, since = len(found), time.Now()
		}
		if len(found) >= wanted || most > 0 && time.Since(since) >= ownersStableTime {
			return nil
		}
		if !wait.For(ctx, pollInterval) {
			return errors.Errorf("%d of %d partitions have owners: %v", len(found), wanted, err)
		}
	}
}

// nodeViews returns the state of all nodes as seen by the first node that responds.
func (c *cell) nodeViews(ctx context.Context) ([]gateway.NodeView, error) {
	var last error
	for _, n := range c.nodes {
		var views []gateway.NodeView
		if last = c.getJSON(ctx, n.address, "/v1/nodes", c.cellSecret(), &views); last == nil {
			return views, nil
		}
	}
	return nil, last
}

// cellSecret returns the secret for requests that concern the whole cell.
func (c *cell) cellSecret() string {
	if c.options.Secret != "" {
		return c.options.Secret
	}
	return urgentSecret
}

// getJSON reads a JSON document from a node.
func (c *cell) getJSON(ctx context.Context, address, path, secret string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, path)
	}
	r.Header.Set("Authorization", "Bearer "+secret)
	response, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s of %s: status %d", path, address, response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), path)
}

// stopNodes kills the nodes that this tool started.
func (c *cell) stopNodes() {
	for _, n := range c.nodes {
		if n.process != nil {
			n.process.kill()
		}
	}
}

// stop ends what this tool started and removes its temporary directory.
func (c *cell) stop() {
	c.stopNodes()
	c.stopWorkers()
	if c.store != nil {
		_ = c.store.Close()
	}
	if c.platformProcess != nil {
		c.platformProcess.stop()
	}
	if !c.keepDirectory && c.directory != "" {
		_ = os.RemoveAll(c.directory)
	}
}

// stopWorkers stops the worker processes gracefully, so that they write their run logs.
func (c *cell) stopWorkers() {
	done := make(chan struct{}, len(c.workers))
	for _, p := range c.workers {
		go func() {
			p.stop()
			done <- struct{}{}
		}()
	}
	for range c.workers {
		<-done
	}
	c.workers = nil
}
