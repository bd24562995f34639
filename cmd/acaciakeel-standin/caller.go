package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"acaciakeel/internal/load"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "send the demo's requests and check the answers",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true},
			&cli.StringFlag{Name: "key", Required: true},
			&cli.StringFlag{Name: "model", Required: true},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "service-truth", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			demo := load.Demo{
				Entries:      c.StringSlice("entry"),
				Key:          c.String("key"),
				Model:        c.String("model"),
				Service:      c.String("service"),
				ServiceTruth: c.String("service-truth"),
				Out:          os.Stdout,
			}
			return demo.Run(ctx)
		},
	}
}

// httpCommand returns the get, put or post command, so that scripts need no other HTTP
// client on the machine.
func httpCommand(name string) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     name + " a URL of a stand-in",
		ArgsUsage: "URL [BODY]",
		Action: func(ctx context.Context, c *cli.Command) error {
			body := strings.NewReader(c.Args().Get(1))
			req, err := http.NewRequestWithContext(ctx, strings.ToUpper(name), c.Args().First(), body)
			if err != nil {
				return err
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s answered with status %d", c.Args().First(), resp.StatusCode)
			}
			_, err = io.Copy(os.Stdout, resp.Body)
			return err
		},
	}
}
