package entry

import (
	"context"
	"fmt"
	"sync"

	"connectrpc.com/connect"

	keelv1 "acaciakeel/api/keel/v1"
)

// incarnationCache caches the incarnation (process) of the agent of each target.
type incarnationCache struct {
	mu       sync.Mutex
	byTarget map[string]string
}

func newIncarnationCache() *incarnationCache {
	return &incarnationCache{byTarget: map[string]string{}}
}

func (i *incarnationCache) get(target string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.byTarget[target]
}

func (i *incarnationCache) set(target, incarnation string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.byTarget[target] = incarnation
}

// getOrFetch returns the incarnation of a target's agent. If it is not cached, it is
// requested from the agent.
func (i *incarnationCache) getOrFetch(ctx context.Context, e *Entry, target string) (string, error) {
	if cached := i.get(target); cached != "" {
		return cached, nil
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeQueryTimeout)
	defer cancel()
	url := e.table.Load().agentURL[target]
	peer := e.links.Peer(url)
	clients := peer.Clients()
	response, err := clients.Agent.Abandon(ctx, connect.NewRequest(&keelv1.AbandonRequest{}))
	if err != nil {
		peer.Reconnect(clients)
		e.health.recordFailure(target)
		return "", fmt.Errorf("ask for the agent's incarnation: %w", err)
	}
	i.set(target, response.Msg.Incarnation)
	return response.Msg.Incarnation, nil
}
