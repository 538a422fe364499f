package bvdaemon

import (
	"context"

	"balsamvalve.example/bvpeer"
)

// peerService implements the gRPC service that other hosts call.
type peerService struct {
	bvpeer.UnimplementedPeerServer
	daemon *Daemon
}

// Run implements bvpeer.PeerServer.
func (service *peerService) Run(call *bvpeer.Call, stream bvpeer.Peer_RunServer) error {
	err := service.daemon.owner.Run(stream.Context(), call, stream.Send)
	if err == nil {
		return nil
	}
	return stream.Send(&bvpeer.CallEvent{Event: &bvpeer.CallEvent_Failure{Failure: bvpeer.EncodeFailure(err)}})
}

// Fetch implements bvpeer.PeerServer.
func (service *peerService) Fetch(ctx context.Context, request *bvpeer.FetchRequest) (*bvpeer.FetchReply, error) {
	answer, err := service.daemon.owner.Fetch(ctx, request.GetMember(), request.GetProgram(), request.GetRequest())
	if err != nil {
		return &bvpeer.FetchReply{Failure: bvpeer.EncodeFailure(err)}, nil
	}
	return &bvpeer.FetchReply{Answer: answer}, nil
}

// EndProgram implements bvpeer.PeerServer.
func (service *peerService) EndProgram(ctx context.Context, request *bvpeer.EndProgramRequest) (*bvpeer.EndProgramReply, error) {
	err := service.daemon.owner.EndProgram(ctx, request.GetMember(), request.GetProgram())
	if err != nil {
		return &bvpeer.EndProgramReply{Failure: bvpeer.EncodeFailure(err)}, nil
	}
	return &bvpeer.EndProgramReply{}, nil
}

// Permit implements bvpeer.PeerServer.
func (service *peerService) Permit(stream bvpeer.Peer_PermitServer) error {
	return service.daemon.permits.Serve(stream)
}

// ReportEnd implements bvpeer.PeerServer.
func (service *peerService) ReportEnd(_ context.Context, request *bvpeer.ReportEndRequest) (*bvpeer.ReportEndReply, error) {
	service.daemon.permits.EndProgram(request.GetPool(), request.GetMember(), request.GetProgram())
	return &bvpeer.ReportEndReply{}, nil
}

// ShareSuspects implements bvpeer.PeerServer.
func (service *peerService) ShareSuspects(_ context.Context, suspects *bvpeer.Suspects) (*bvpeer.SuspectsReply, error) {
	service.daemon.permits.AddSuspects(suspects)
	return &bvpeer.SuspectsReply{}, nil
}
