package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/urfave/cli/v3"

	"acaciakeel/internal/load"
	"acaciakeel/resource"
)

func fleetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "`URL` of an entry", Required: true},
		&cli.StringSliceFlag{Name: "engine", Usage: "`URL` of an engine"},
		&cli.StringSliceFlag{Name: "key", Usage: "a customer's `KEY`", Required: true},
		&cli.StringFlag{Name: "operator-key", Required: true},
		&cli.StringFlag{Name: "model", Required: true},
		&cli.StringFlag{Name: "service", Required: true},
		&cli.StringFlag{Name: "workload", Value: "lanzani"},
		&cli.Uint64Flag{Name: "seed", Value: 1},
		&cli.FloatFlag{Name: "rate", Usage: "requests a second", Value: 60},
	}
}

func fleetFromFlags(c *cli.Command) load.Fleet {
	return load.Fleet{
		Entries:     c.StringSlice("entry"),
		Engines:     c.StringSlice("engine"),
		Keys:        c.StringSlice("key"),
		OperatorKey: c.String("operator-key"),
		Model:       c.String("model"),
		Service:     c.String("service"),
	}
}

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "compare placement policies on a running deployment",
		Flags: append(fleetFlags(),
			&cli.StringFlag{Name: "scenario", Value: "steady"},
			&cli.StringSliceFlag{Name: "policy", Value: []string{"random", "least-load", "prefix-hash", "oracle", "keel"}},
			&cli.DurationFlag{Name: "warmup", Value: 8 * time.Second},
			&cli.DurationFlag{Name: "measure", Value: 14 * time.Second},
			&cli.StringFlag{Name: "preference", Usage: "fields of the routing preference, in TOML"},
			&cli.StringFlag{Name: "mark-file"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			profile, ok := load.Profiles()[c.String("workload")]
			if !ok {
				return fmt.Errorf("there is no workload %q", c.String("workload"))
			}
			var preference resource.Preference
			if err := toml.Unmarshal([]byte(c.String("preference")), &preference); err != nil {
				return fmt.Errorf("read --preference: %w", err)
			}
			b := load.Bench{
				Fleet:      fleetFromFlags(c),
				Profile:    profile,
				Scenario:   load.Scenario(c.String("scenario")),
				Policies:   c.StringSlice("policy"),
				Seed:       c.Uint64("seed"),
				Rate:       c.Float("rate"),
				Warmup:     c.Duration("warmup"),
				Measure:    c.Duration("measure"),
				Preference: preference,
				MarkFile:   c.String("mark-file"),
				Out:        os.Stdout,
			}
			return b.Run(ctx)
		},
	}
}

func plotBenchCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot-bench",
		Usage:     "draw bench lines from standard input into a PNG file",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			return load.PlotBench(os.Stdin, c.Args().First())
		},
	}
}
