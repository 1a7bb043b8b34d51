package worker

import (
	"context"

	"sequoiastall/internal/rpc/standinpb"
)

// control serves the WorkerControl service of a worker to other processes.
type control struct {
	standinpb.UnimplementedWorkerControlServer
	worker *Worker
}

func (c control) SilenceInstances(context.Context, *standinpb.SilenceInstancesRequest) (*standinpb.SilenceInstancesResponse, error) {
	c.worker.callers.silence()
	return &standinpb.SilenceInstancesResponse{}, nil
}
