package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
)

// engineStatsInterval is how often the engine estimates are logged: often enough to explain a
// choice, at six lines a minute for each service.
const engineStatsInterval = 10 * time.Second

// logEngineStats logs the estimates that the choice of targets is based on.
func (n *Node) logEngineStats(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, engineStatsInterval)
		for service, f := range n.view.fleet.EngineCoefficients(time.Now()) {
			loads := n.view.fleet.WeightLoads(service)
			n.log.WithFields(logrus.Fields{
				"event": "engine_figures", "service": service,
				"fixed_ms": f.Base * 1e3, "thousand_tokens_ms": f.PerKiloToken * 1e3, "million_pairs_ms": f.PerMegaPair * 1e3,
				"moved_runner_ms": f.TargetTransfer * 1e3, "moved_store_ms": f.StoreTransfer * 1e3,
				"load_ms": loads.LoadDuration().Milliseconds(), "loads_seen": loads.Samples,
			}).Info("engine estimates, from responses and weight loads")
		}
	}
}
