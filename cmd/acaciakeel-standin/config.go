package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"acaciakeel/internal/load"
	"acaciakeel/vm"
)

func followCommand() *cli.Command {
	return &cli.Command{
		Name:  "follow",
		Usage: "a process that only follows the configuration",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Required: true},
			&cli.StringFlag{Name: "data-centre", Required: true},
			&cli.StringFlag{Name: "platform", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			self := vm.VM{
				Name:       c.String("name"),
				Role:       vm.Agent,
				DataCentre: vm.DataCentre{Name: c.String("data-centre")},
				URL:        "http://" + c.String("listen"),
			}
			m := load.NewMember(self, c.String("platform"), nil)
			go m.Follower.Run(ctx)
			go m.Watch()
			return serveLinks(c.String("listen"), m.Handler())
		},
	}
}

func benchConfigCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench-config",
		Usage: "measure how changes reach the members of a deployment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Required: true},
			&cli.StringSliceFlag{Name: "member", Required: true},
			&cli.IntFlag{Name: "changes", Value: 30},
			&cli.IntFlag{Name: "resources", Value: 200},
			&cli.DurationFlag{Name: "every", Value: 400 * time.Millisecond},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, 3*time.Minute)
			defer cancel()
			b := load.ConfigBench{
				Platform:  c.String("platform"),
				Members:   c.StringSlice("member"),
				Changes:   c.Int("changes"),
				Every:     c.Duration("every"),
				Resources: c.Int("resources"),
				Out:       os.Stdout,
			}
			return b.Run(ctx)
		},
	}
}
