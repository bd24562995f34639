// Command acaciakeel-entry is the entry daemon: it serves client requests and the operator API.
package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"acaciakeel/daemon"
	"acaciakeel/entry"
	"acaciakeel/settings"
	"acaciakeel/telemetry"
)

func main() {
	daemon.Main(daemon.Program{
		Name:  "acaciakeel-entry",
		Usage: "callers' HTTP, contracts, choice of target, streams, the resource API",
		Check: func(file string) error {
			s := entry.DefaultSettings()
			return settings.Load(file, &s)
		},
		Start: start,
		More:  []*cli.Command{platformCommand()},
	})
}

func start(ctx context.Context, file string) (*daemon.Service, error) {
	s := entry.DefaultSettings()
	if err := settings.Load(file, &s); err != nil {
		return nil, err
	}
	log := telemetry.NewLogger(s.Log.Level)
	e := entry.New(s, log)
	go e.Run(ctx)
	return &daemon.Service{
		Log:       log,
		Listen:    s.Self.Listen,
		Handler:   e.Handler(),
		Stop:      e.AnnounceShutdown,
		StopLimit: settings.Millis(s.StopLimitMS),
	}, nil
}
