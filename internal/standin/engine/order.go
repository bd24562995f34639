package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// order tells the engine to load weights. Fence is the fencing number.
type order struct {
	Fence          uint64 `json:"fence"`
	WeightsVersion string `json:"weights_version"`
}

// WeightStoreAnswer tells a loader how many runners load at once.
type WeightStoreAnswer struct {
	Loading int `json:"loading"`
}

// freeLoads is how many runners can load at once at full speed.
const freeLoads = 3

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.beginLoad(o); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	loading := e.storeLoading(http.MethodPost)
	slowdown := max(1, float64(loading)/freeLoads)
	time.Sleep(time.Duration(slowdown * float64(millis(e.config.LoadWeightsMS))))
	e.storeLoading(http.MethodDelete)
	e.finishLoad(o)
}

var errBusy = errors.New("sequences run or weights load; drain first")

func (e *Engine) beginLoad(o order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.config.IgnoreFencing {
		return fmt.Errorf("%w: %d is below %d", errFence, o.Fence, e.fence)
	}
	if e.loading || len(e.running)+len(e.waiting) > 0 {
		return errBusy
	}
	e.fence = max(e.fence, o.Fence)
	e.loading = true
	return nil
}

// finishLoad takes the new weights; entries of older ones are dropped and the
// engine counts as a new boot.
func (e *Engine) finishLoad(o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = o.WeightsVersion
	e.loading = false
	e.boot()
}

// storeLoading tells the weight store that a load begins or ends and returns
// how many run at once. Without a store the load counts as the only one.
func (e *Engine) storeLoading(method string) int {
	if e.config.WeightStore == "" {
		return 1
	}
	req, err := http.NewRequest(method, e.config.WeightStore+"/v1/loads", nil)
	if err != nil {
		return 1
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 1
	}
	defer resp.Body.Close()
	var a WeightStoreAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return 1
	}
	return a.Loading
}
