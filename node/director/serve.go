package director

import (
	"context"

	"storj.io/drpc"

	"github.com/jacinthnotch/jacinthnotch/wire/peerpb"
)

// Server implements the drpc service Batch. LocalOwner handles pulls and pushes,
// Director the other calls.
type Server struct {
	LocalOwner
	Director *Director
}

var _ peerpb.DRPCBatchServer = (*Server)(nil)

// Register adds the service to mux.
func (s *Server) Register(mux drpc.Mux) error { return peerpb.DRPCRegisterBatch(mux, s) }

// Preempt implements peerpb.DRPCBatchServer.
func (s *Server) Preempt(_ context.Context, in *peerpb.PreemptRequest) (*peerpb.PreemptResponse, error) {
	cancelled, batch := s.Director.Preempt(in.Server, int(in.Slots), int(in.Left))
	return &peerpb.PreemptResponse{Cancelled: uint32(cancelled), Batch: uint32(batch)}, nil
}

// StopJob implements peerpb.DRPCBatchServer.
func (s *Server) StopJob(_ context.Context, in *peerpb.StopJobRequest) (*peerpb.StopJobResponse, error) {
	return &peerpb.StopJobResponse{Cancelled: uint32(s.Director.StopJob(in.JobId))}, nil
}
