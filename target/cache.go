package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"acaciakeel/cache"
	"acaciakeel/connend"
)

type cacheDump struct {
	BootID string      `json:"boot_id"`
	Seq    uint64      `json:"seq"`
	Blocks [][2]uint64 `json:"blocks"`
}

// CacheDump returns all blocks that the engine has cached.
func (e *Engine) CacheDump(ctx context.Context) (cache.Dump, error) {
	var raw cacheDump
	if err := e.call(ctx, call{method: http.MethodGet, path: "/v1/cache", out: &raw, maxBytes: maxDumpBytes}); err != nil {
		return cache.Dump{}, err
	}
	d := cache.Dump{BootID: raw.BootID, Seq: raw.Seq, Blocks: make([]cache.Block, len(raw.Blocks))}
	for i, b := range raw.Blocks {
		d.Blocks[i] = cache.Block{Hash: b[0], Parent: b[1]}
	}
	return d, nil
}

type cacheEvent struct {
	BootID  string   `json:"boot_id"`
	Seq     uint64   `json:"seq"`
	Removed []uint64 `json:"removed"`
	Parent  uint64   `json:"parent"`
	Stored  []uint64 `json:"stored"`
}

// CacheEvents calls handle for each cache event after a sequence number until
// the connection ends. It always returns a non-nil error.
func (e *Engine) CacheEvents(ctx context.Context, after uint64, handle func(cache.Event)) error {
	path := e.baseURL + "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return fmt.Errorf("build event stream: %w", err)
	}
	resp, err := e.http.Do(connend.Track(req))
	if err != nil {
		return sendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readStatusError(resp)
	}
	events := &io.LimitedReader{R: resp.Body}
	decoder := json.NewDecoder(events)
	for {
		events.N = maxEventBytes
		var raw cacheEvent
		if err := decoder.Decode(&raw); err != nil {
			return fmt.Errorf("read cache events: %w", err)
		}
		handle(cache.Event(raw))
	}
}
