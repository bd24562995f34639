package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/api/keel/v1/keelv1connect"
	"acaciakeel/store"
)

// fetch long-polls a neighbour for up to wait and applies its state if newer.
func (f *Follower) fetch(ctx context.Context, url string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	peer := f.config.Links.Peer(url)
	clients := peer.Clients()
	state := f.State()
	answer, err := clients.Config.Fetch(ctx, connect.NewRequest(&keelv1.FetchRequest{
		AboveRevision: uint64(state.Snapshot.Revision),
		VmsHash:       state.VMsHash,
		WaitMs:        uint32(wait.Milliseconds()),
	}))
	if err != nil {
		peer.Reconnect(clients)
		return fmt.Errorf("fetch from neighbour %s: %w", url, err)
	}
	if len(answer.Msg.State) == 0 {
		return nil
	}
	var u update
	if err := json.Unmarshal(answer.Msg.State, &u); err != nil {
		return fmt.Errorf("decode state of neighbour %s: %w", url, err)
	}
	return f.applyUpdate(state, u)
}

// applyUpdate applies a neighbour's changes since a state of this process.
func (f *Follower) applyUpdate(state *State, u update) error {
	if position := store.Position(u.Delta.Revision); f.isLater(position) {
		f.advance(position.History())
	}
	snapshot, err := state.Snapshot.With(u.Delta)
	f.replaceState(snapshot, u.VMs.apply(state.VMs))
	return err
}

// Server serves the long polls of neighbours. It implements ConfigServiceHandler.
type Server struct {
	follower *Follower
	stopped  chan struct{}
}

// maxRequestBytes bounds a request for the state, which has four numbers.
const maxRequestBytes = 1 << 10

// NewServer returns a server of the follower's state.
func NewServer(f *Follower) *Server {
	return &Server{follower: f, stopped: make(chan struct{})}
}

// Handler returns the server's HTTP handler and the path that it serves. Requests are bounded as
// received and as decompressed, since clients reach it without a key.
func (s *Server) Handler() (path string, handler http.Handler) {
	path, handler = keelv1connect.NewConfigServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
	return path, http.MaxBytesHandler(handler, maxRequestBytes)
}

// Stop ends all long polls, so that a planned shutdown does not wait for them.
// It must be called at most once.
func (s *Server) Stop() {
	close(s.stopped)
}

var errStopping = errors.New("this process is stopping; ask another carrier")

// maxFetchWait bounds the wait that a neighbour can request.
const maxFetchWait = 30 * time.Second

// Fetch implements ConfigServiceHandler.
func (s *Server) Fetch(ctx context.Context, req *connect.Request[keelv1.FetchRequest]) (*connect.Response[keelv1.FetchResponse], error) {
	if req.Msg.RevisionOnly {
		return connect.NewResponse(&keelv1.FetchResponse{Revision: uint64(s.follower.Revision())}), nil
	}
	wait := min(time.Duration(req.Msg.WaitMs)*time.Millisecond, maxFetchWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		changed := s.follower.Changed()
		state := s.follower.State()
		if newerThan(state, req.Msg) {
			return stateResponse(state, req.Msg)
		}
		select {
		case <-changed:
		case <-s.stopped:
			return nil, connect.NewError(connect.CodeUnavailable, errStopping)
		case <-deadline.C:
			return connect.NewResponse(&keelv1.FetchResponse{}), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func newerThan(s *State, req *keelv1.FetchRequest) bool {
	if s.Snapshot.Revision != int64(req.AboveRevision) {
		return s.Snapshot.Revision > int64(req.AboveRevision)
	}
	return s.VMsHash != req.VmsHash && len(s.VMs) > 0
}

func stateResponse(s *State, req *keelv1.FetchRequest) (*connect.Response[keelv1.FetchResponse], error) {
	data, err := s.encodeFor(int64(req.AboveRevision), req.VmsHash)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&keelv1.FetchResponse{
		Revision: uint64(s.Snapshot.Revision),
		State:    data,
	}), nil
}
