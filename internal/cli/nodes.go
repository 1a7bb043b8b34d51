package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sequoiastall/internal/gateway"
	"sequoiastall/internal/node"
	"sequoiastall/internal/platform"
	"sequoiastall/internal/port"
)

// nodeTimeout bounds the question to one node.
const nodeTimeout = time.Second

func openStore(address string) (port.Store, func() error, error) {
	c, err := platform.New(address)
	if err != nil {
		return nil, nil, err
	}
	return c, c.Close, nil
}

// httpNodes asks the nodes that are registered in the store at their callers' interfaces.
type httpNodes struct{}

// Revisions implements NodeRevisions.
func (httpNodes) Revisions(ctx context.Context, store port.Store) ([]NodeRevision, error) {
	entries, _, err := store.Range(ctx, port.NodePrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list the ingress nodes")
	}
	revisions := make([]NodeRevision, len(entries))
	var wg sync.WaitGroup
	for i, e := range entries {
		wg.Go(func() { revisions[i] = askRevision(ctx, e) })
	}
	wg.Wait()
	return revisions, nil
}

func askRevision(ctx context.Context, e port.Entry) NodeRevision {
	r := NodeRevision{Node: e.Key[len(port.NodePrefix):]}
	var registered node.Registration
	if err := json.Unmarshal(e.Value, &registered); err != nil {
		r.Error = err.Error()
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	view, err := readRevision(ctx, registered.HTTPAddress)
	switch {
	case err != nil:
		r.Error = err.Error()
	case view.Node != r.Node:
		r.Error = "node " + view.Node + " answers at its address"
	default:
		r.Revision = view.Revision
	}
	return r
}

func readRevision(ctx context.Context, address string) (gateway.RevisionView, error) {
	var view gateway.RevisionView
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/revision", nil)
	if err != nil {
		return view, errors.Wrap(err, "node")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return view, errors.Wrap(err, "node")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return view, errors.Errorf("node: %s", answer.Status)
	}
	return view, errors.Wrap(json.NewDecoder(answer.Body).Decode(&view), "node")
}
