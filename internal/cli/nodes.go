package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/callerclient"
	"sequoiastall/internal/node"
	"sequoiastall/internal/platform"
	"sequoiastall/internal/port"
	"sequoiastall/internal/rpc/connection"
)

// nodeTimeout is the timeout of a request to one node.
const nodeTimeout = time.Second

func openStore(address string) (port.Store, func() error, error) {
	c, err := platform.New(address, connection.Options{})
	if err != nil {
		return nil, nil, err
	}
	return c, c.Close, nil
}

// httpNodes queries the nodes that are registered in the store through their HTTP APIs.
type httpNodes struct{}

// Revisions implements RevisionReader.
func (httpNodes) Revisions(ctx context.Context, store port.Store) ([]NodeRevision, error) {
	entries, _, err := store.Range(ctx, port.NodePrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list the ingress nodes")
	}
	revisions := make([]NodeRevision, len(entries))
	var wg sync.WaitGroup
	for i, e := range entries {
		wg.Go(func() { revisions[i] = fetchRevision(ctx, e) })
	}
	wg.Wait()
	return revisions, nil
}

// fetchRevision queries the node of a registry entry for its revision in force.
func fetchRevision(ctx context.Context, e port.Entry) NodeRevision {
	r := NodeRevision{Node: e.Key[len(port.NodePrefix):]}
	var registered node.Registration
	if err := json.Unmarshal(e.Value, &registered); err != nil {
		r.Error = err.Error()
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	c := callerclient.Client{Address: registered.HTTPAddress, HTTP: http.DefaultClient}
	view, err := c.Revision(ctx)
	switch {
	case err != nil:
		r.Error = err.Error()
	case view.Node != r.Node:
		r.Error = "its address is now that of node " + view.Node
	default:
		r.Revision = view.Revision
	}
	return r
}
