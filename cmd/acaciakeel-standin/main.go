// Command acaciakeel-standin runs small substitutes for the external systems, for tests and
// trials. Each subcommand is one process.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/urfave/cli/v3"

	"acaciakeel/internal/standin/engine"
	"acaciakeel/internal/standin/kv"
	"acaciakeel/internal/standin/service"
	"acaciakeel/internal/standin/weights"
	"acaciakeel/link"
)

func main() {
	app := &cli.Command{
		Name:  "acaciakeel-standin",
		Usage: "stand-ins of the platform, engines, services and the weight store",
		Commands: []*cli.Command{
			platformCommand(),
			engineCommand(),
			serviceCommand(),
			weightsCommand(),
			demoCommand(),
			benchCommand(),
			slopesCommand(),
			soakCommand(),
			plotBenchCommand(),
			followCommand(),
			endsTargetsCommand(),
			benchConfigCommand(),
			httpCommand("get"),
			httpCommand("put"),
			httpCommand("post"),
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "serve on `IP:PORT`", Required: true}
}

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "constants from a TOML `FILE`"}
}

func serve(listen string, handler http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return serveOn(listener, handler)
}

func serveOn(listener net.Listener, handler http.Handler) error {
	fmt.Fprintf(os.Stderr, "event=started listen=%s\n", listener.Addr())
	return http.Serve(listener, handler)
}

// serveLinks serves the internal protocol between the processes of the system.
func serveLinks(listen string, handler http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return link.NewServer(handler).Serve(listener)
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "the key-value service and the lagging list of VMs",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "lag", Usage: "age of the list of VMs", Value: 500 * time.Millisecond},
			&cli.BoolFlag{Name: "era", Usage: "say in each response how often the service was restored"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			server := kv.NewServer(kv.NewStore(c.Duration("lag")))
			server.SendsEra = c.Bool("era")
			listener, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return fmt.Errorf("listen: %w", err)
			}
			return serveOn(server.Listen(listener), server.Handler())
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine",
		Flags: []cli.Flag{configFlag(), listenFlag(), &cli.StringFlag{Name: "weights", Usage: "weights `VERSION` loaded at the start"}, &cli.StringFlag{Name: "build", Usage: "`VERSION` of the engine's software"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			config := engine.Defaults()
			if err := decode(c, &config); err != nil {
				return err
			}
			config.Listen = c.String("listen")
			if c.IsSet("weights") {
				config.WeightsVersion = c.String("weights")
			}
			config.Build = c.String("build")
			e := engine.New(config)
			go e.Run(ctx)
			return serve(config.Listen, e.Handler())
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service",
		Flags: []cli.Flag{listenFlag(), &cli.FloatFlag{Name: "work-ms", Usage: "time of one call in milliseconds", Value: 5}},
		Action: func(_ context.Context, c *cli.Command) error {
			s := service.New(service.Config{WorkMS: c.Float("work-ms")})
			return serve(c.String("listen"), s.Handler())
		},
	}
}

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "the weight store",
		Flags: []cli.Flag{listenFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			return serve(c.String("listen"), (&weights.Store{}).Handler())
		},
	}
}

func decode(c *cli.Command, into any) error {
	if !c.IsSet("config") {
		return nil
	}
	meta, err := toml.DecodeFile(c.String("config"), into)
	if err != nil {
		return fmt.Errorf("read constants: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("%s has unknown keys %v", c.String("config"), unknown)
	}
	return nil
}
