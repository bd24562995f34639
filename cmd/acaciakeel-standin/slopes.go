package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"acaciakeel/internal/load"
)

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure costs at several sizes and fit lines, for docs/CAPACITY.md",
		Flags: append(fleetFlags(),
			&cli.StringSliceFlag{Name: "agent", Usage: "`URL` of an agent"},
			&cli.FloatSliceFlag{Name: "rates", Value: []float64{0, 10, 30, 60, 120}},
			&cli.DurationFlag{Name: "each", Value: 8 * time.Second},
			&cli.StringFlag{Name: "plot", Usage: "PNG `FILE` to draw into"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if len(c.StringSlice("agent")) == 0 {
				return fmt.Errorf("give at least one --agent")
			}
			slopes, err := load.TrafficSlopes(ctx, fleetFromFlags(c), c.StringSlice("agent"),
				load.Profiles()[c.String("workload")], c.Uint64("seed"), c.FloatSlice("rates"), c.Duration("each"))
			if err != nil {
				return err
			}
			questions, err := load.QuestionBytes(ctx, c.StringSlice("agent")[0])
			if err != nil {
				return err
			}
			cost, err := load.QuestionCPU(ctx, c.StringSlice("agent")[0])
			if err != nil {
				return err
			}
			fmt.Printf("question asker_cpu_us=%.1f agent_cpu_us=%.1f\n", cost.Asker, cost.Agent)
			slopes = append(slopes, questions)
			slopes = append(slopes, load.MicroSlopes()...)
			for _, s := range slopes {
				s.Print(os.Stdout)
			}
			if file := c.String("plot"); file != "" {
				return load.WritePlots(file, slopes)
			}
			return nil
		},
	}
}
