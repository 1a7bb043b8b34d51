package worker

import (
	"context"

	"sequoiastall/internal/rpc/standinpb"
)

// control implements the WorkerControl service, through which other processes inject faults into a worker.
type control struct {
	standinpb.UnimplementedWorkerControlServer
	worker *Worker
}

func (c control) SilenceInstances(context.Context, *standinpb.SilenceInstancesRequest) (*standinpb.SilenceInstancesResponse, error) {
	c.worker.instanceConns.silence()
	return &standinpb.SilenceInstancesResponse{}, nil
}
