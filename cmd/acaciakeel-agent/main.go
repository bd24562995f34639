// Command acaciakeel-agent is the agent daemon, which runs beside one target.
package main

import (
	"context"

	"acaciakeel/agent"
	"acaciakeel/daemon"
	"acaciakeel/settings"
	"acaciakeel/telemetry"
)

func main() {
	daemon.Main(daemon.Program{
		Name:  "acaciakeel-agent",
		Usage: "cache view, queue, ledger, streams and orders of one target",
		Check: func(file string) error {
			s := agent.DefaultSettings()
			return settings.Load(file, &s)
		},
		Start: start,
	})
}

func start(ctx context.Context, file string) (*daemon.Service, error) {
	s := agent.DefaultSettings()
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	log := telemetry.NewLogger(s.Log.Level)
	a := agent.New(s, log)
	go a.Run(ctx)
	return &daemon.Service{
		Log:       log,
		Listen:    s.Self.Listen,
		Handler:   a.Handler(),
		Stop:      func(ctx context.Context) { a.Drain(ctx) },
		StopLimit: settings.Millis(s.StopLimitMS),
	}, nil
}
