package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"acaciakeel/internal/load"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "send chats and holds while the deployment is being broken, and check the answers",
		Flags: append(fleetFlags(),
			&cli.StringSliceFlag{Name: "service-url", Usage: "`URL` of a plain service"},
			&cli.DurationFlag{Name: "duration", Value: 3 * time.Minute},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			s := load.Soak{
				Fleet:    fleetFromFlags(c),
				Services: c.StringSlice("service-url"),
				Seed:     c.Uint64("seed"),
				Duration: c.Duration("duration"),
				Rate:     c.Float("rate"),
				Version:  "v1",
				Out:      os.Stdout,
			}
			return s.Run(ctx)
		},
	}
}
