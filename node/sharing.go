package node

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
	"acaciakeel/api/keel/v1/keelv1connect"
	"acaciakeel/fleet"
	"acaciakeel/link"
	"acaciakeel/prefix"
)

// sharing tells the other nodes what this one learnt, and takes what they tell.
// Nothing rests on it: without it each node goes by what it sees itself.
type sharing struct {
	name  string
	fleet *fleet.Fleet
	view  *view
	links *link.Pool
	now   chan struct{}
}

func newSharing(name string, f *fleet.Fleet, v *view) *sharing {
	return &sharing{name: name, fleet: f, view: v, links: link.NewPool(link.Options{}), now: make(chan struct{}, 1)}
}

// Figures of the sharing.
const (
	// shareEvery is the pause between two tellings, the time of a short request.
	shareEvery = 200 * time.Millisecond
	// sharePerPeer stretches it where there are many, so that the cost of a node
	// does not grow with their number.
	sharePerPeer = 40 * time.Millisecond
	// shareGather is how long news that is to go out at once waits for more.
	shareGather = 20 * time.Millisecond
	// shareTimeout bounds one telling; the next one says more than a late one.
	shareTimeout = 400 * time.Millisecond
)

func (s *sharing) run(ctx context.Context) {
	for ctx.Err() == nil {
		peers := told(s.name, s.view.peers())
		if len(peers) > 0 {
			s.tell(ctx, peers)
		}
		select {
		case <-time.After(max(shareEvery, time.Duration(len(peers))*sharePerPeer)):
		case <-s.now:
			// What comes together goes out together.
			time.Sleep(shareGather)
		case <-ctx.Done():
		}
	}
}

// peersMost is how many peers a node tells: all of them in fleets of today. In
// larger ones the cost of a node is bounded, and each hears of about as many.
const peersMost = 24

// told returns the peers that a node tells, the same ones as long as they are
// there, so that connections last.
func told(self string, peers []string) []string {
	hash := prefix.NameHash(self)
	slices.SortFunc(peers, func(a, b string) int {
		return cmp.Compare(prefix.Score(prefix.NameHash(a), hash), prefix.Score(prefix.NameHash(b), hash))
	})
	return peers[:min(peersMost, len(peers))]
}

// soon makes the next telling come at once.
func (s *sharing) soon() {
	select {
	case s.now <- struct{}{}:
	default:
	}
}

func (s *sharing) tell(ctx context.Context, peers []string) {
	request := &keelv1.ShareRequest{Sender: s.name, Findings: encodeFindings(s.fleet.Findings(time.Now())), Caches: encodeCaches(s.fleet.News())}
	keep := make(map[string]bool, len(peers))
	for _, url := range peers {
		keep[url] = true
		go func() {
			ctx, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			peer := s.links.Peer(url)
			clients := peer.Clients()
			if _, err := clients.Peer.Share(ctx, connect.NewRequest(request)); err != nil {
				// A connection may have gone silent for good; the next telling
				// goes over a new one.
				peer.Renew(clients)
			}
		}()
	}
	s.links.Keep(keep)
}

// Share implements keelv1connect.PeerServiceHandler.
func (s *sharing) Share(_ context.Context, r *connect.Request[keelv1.ShareRequest]) (*connect.Response[keelv1.ShareResponse], error) {
	now := time.Now()
	s.fleet.HeardFindings(decodeFindings(r.Msg.Findings), now)
	s.fleet.HeardCaches(r.Msg.Sender, decodeCaches(r.Msg.Caches), now)
	return connect.NewResponse(&keelv1.ShareResponse{}), nil
}

func encodeFindings(all []fleet.Finding) []*keelv1.TargetFinding {
	out := make([]*keelv1.TargetFinding, 0, len(all))
	for _, found := range all {
		w := &keelv1.TargetFinding{Target: found.Target, BusyMs: uint32(found.Busy.Milliseconds())}
		for model, version := range found.Weights {
			w.Weights = append(w.Weights, &keelv1.LoadedWeights{Model: model, Version: version})
		}
		for _, p := range found.Parts {
			w.PartHash = append(w.PartHash, p.Hash)
			w.PartTokens = append(w.PartTokens, uint32(p.Tokens))
		}
		out = append(out, w)
	}
	return out
}

func decodeFindings(all []*keelv1.TargetFinding) []fleet.Finding {
	out := make([]fleet.Finding, 0, len(all))
	for _, w := range all {
		found := fleet.Finding{
			Target:  w.Target,
			Weights: map[string]int64{},
			Busy:    time.Duration(w.BusyMs) * time.Millisecond,
			Parts:   decodeParts(w.PartHash, w.PartTokens),
		}
		for _, l := range w.Weights {
			found.Weights[l.Model] = l.Version
		}
		out = append(out, found)
	}
	return out
}

func decodeParts(hashes []uint64, tokens []uint32) []fleet.Part {
	var out []fleet.Part
	for i := range min(len(hashes), len(tokens)) {
		out = append(out, fleet.Part{Hash: hashes[i], Tokens: int(tokens[i])})
	}
	return out
}

func encodeCaches(all []fleet.CacheNews) []*keelv1.CacheNews {
	out := make([]*keelv1.CacheNews, 0, len(all))
	for _, n := range all {
		w := &keelv1.CacheNews{Address: n.Address, Boot: n.Boot, Next: n.Next, DroppedHash: n.Dropped, Silent: n.Silent}
		for _, p := range n.Stored {
			w.StoredHash = append(w.StoredHash, p.Hash)
			w.StoredTokens = append(w.StoredTokens, uint32(p.Tokens))
		}
		out = append(out, w)
	}
	return out
}

func decodeCaches(all []*keelv1.CacheNews) []fleet.CacheNews {
	out := make([]fleet.CacheNews, 0, len(all))
	for _, w := range all {
		out = append(out, fleet.CacheNews{
			Address: w.Address, Boot: w.Boot, Next: w.Next, Silent: w.Silent,
			Stored: decodeParts(w.StoredHash, w.StoredTokens), Dropped: w.DroppedHash,
		})
	}
	return out
}

// peerAddress is where the node serves its peers: the first of the ports that
// the platform leaves to the system's own messages.
func (n *Node) peerAddress() string {
	port := 0
	if len(n.settings.Ports) > 0 {
		port = n.settings.Ports[0]
	}
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(port))
}

func (s *sharing) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(keelv1connect.NewPeerServiceHandler(s))
	return mux
}
