package entry

import (
	"context"
	"fmt"
	"sync"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
)

// incarnations remembers which process last answered for each target.
type incarnations struct {
	mu    sync.Mutex
	known map[string]string
}

func newIncarnations() *incarnations {
	return &incarnations{known: map[string]string{}}
}

func (i *incarnations) get(target string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.known[target]
}

func (i *incarnations) set(target, incarnation string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.known[target] = incarnation
}

// of returns the incarnation of a target's agent, asking it the first time.
func (i *incarnations) of(ctx context.Context, e *Entry, target string) (string, error) {
	if known := i.get(target); known != "" {
		return known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	url := e.table.Load().agentURL[target]
	peer := e.links.Peer(url)
	clients := peer.Clients()
	response, err := clients.Agent.Abandon(ctx, connect.NewRequest(&keelv1.AbandonRequest{}))
	if err != nil {
		peer.Reconnect(clients)
		e.opinions.failed(target)
		return "", fmt.Errorf("ask for the agent's incarnation: %w", err)
	}
	i.set(target, response.Msg.Incarnation)
	return response.Msg.Incarnation, nil
}
