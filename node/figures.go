package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"acaciakeel/clock"
)

// figuresEvery is how often what was learnt of the engines is logged: often enough
// to explain a choice, and six lines a minute for each service.
const figuresEvery = 10 * time.Second

// logFigures logs what the choices of the next seconds rest on.
func (n *Node) logFigures(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, figuresEvery)
		for service, f := range n.view.fleet.EngineCoefficients(time.Now()) {
			loads := n.view.fleet.WeightLoads(service)
			n.log.WithFields(logrus.Fields{
				"event": "engine_figures", "service": service,
				"fixed_ms": f.Base * 1e3, "thousand_tokens_ms": f.PerKiloToken * 1e3, "million_pairs_ms": f.PerMegaPair * 1e3,
				"moved_runner_ms": f.TargetTransfer * 1e3, "moved_store_ms": f.StoreTransfer * 1e3,
				"load_ms": loads.LoadDuration().Milliseconds(), "loads_seen": loads.Samples,
			}).Info("learnt from answers and loads")
		}
	}
}
