package gossip

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

// router is the part of a router that the handler uses.
type router interface {
	Gossip(ctx context.Context, g jaywind.Gossip) (jaywind.Gossip, error)
	RulesHead() jaywind.RulesHead
	RulesChunks(ids []jaywind.ChunkID) ([]string, error)
}

// NewHandler returns the handler for the paths below /fleet/gossip and /fleet/rules.
func NewHandler(r router) http.Handler {
	s := &server{router: r}
	m := http.NewServeMux()
	m.Handle(exchangePath, connect.NewUnaryHandler(exchangePath, s.exchange, cbor.HandlerOptions()...))
	m.Handle(headPath, connect.NewUnaryHandler(headPath, s.head, cbor.HandlerOptions()...))
	m.Handle(chunksPath, connect.NewUnaryHandler(chunksPath, s.chunks, cbor.HandlerOptions()...))
	return m
}

type server struct {
	router router
}

func (s *server) exchange(ctx context.Context, r *connect.Request[message]) (*connect.Response[message], error) {
	g, err := s.router.Gossip(ctx, r.Msg.gossip())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	w := messageOf(g)
	return connect.NewResponse(&w), nil
}

func (s *server) head(context.Context, *connect.Request[headRequest]) (*connect.Response[headResponse], error) {
	h := s.router.RulesHead()
	w := headResponse{Version: uint64(h.Version)}
	for _, id := range h.Chunks {
		w.Chunks = append(w.Chunks, string(id))
	}
	return connect.NewResponse(&w), nil
}

func (s *server) chunks(_ context.Context, r *connect.Request[chunksRequest]) (*connect.Response[chunksResponse], error) {
	var ids []jaywind.ChunkID
	for _, id := range r.Msg.Chunks {
		ids = append(ids, jaywind.ChunkID(id))
	}
	texts, err := s.router.RulesChunks(ids)
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&chunksResponse{Texts: texts}), nil
}
