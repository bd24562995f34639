package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"acaciakeel/internal/trial"
)

func endsTargetsCommand() *cli.Command {
	return &cli.Command{
		Name:  "trial-ends-targets",
		Usage: "how many targets a request ends that ends whoever runs it, and what it costs others",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "entries", Value: 3},
			&cli.IntFlag{Name: "runners", Value: 18},
			&cli.FloatFlag{Name: "rate", Usage: "other requests a second", Value: 300},
			&cli.DurationFlag{Name: "every", Usage: "pause between repeats", Value: 300 * time.Millisecond},
			&cli.IntFlag{Name: "copies", Usage: "entries at which it comes at the same moment", Value: 1},
			&cli.DurationFlag{Name: "for", Value: 8 * time.Second},
			&cli.IntFlag{Name: "seeds", Value: 3},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return trial.Ends{
				Entries: c.Int("entries"), Runners: c.Int("runners"), Rate: c.Float("rate"),
				Every: c.Duration("every"), Copies: c.Int("copies"), For: c.Duration("for"), Seeds: c.Int("seeds"),
			}.Run(os.Stdout)
		},
	}
}
