// Package daemon is what the daemons have in common: a command line with a
// settings file, a server, and a stop in order.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"acaciakeel/link"
)

// Version is the product's version.
const Version = "0.1.0"

// Program is one daemon.
type Program struct {
	Name  string
	Usage string
	// Check reads and checks a settings file.
	Check func(file string) error
	// Start reads the settings file and starts the daemon.
	Start func(ctx context.Context, file string) (*Service, error)
	// More are further commands of the program.
	More []*cli.Command
}

// Service is a daemon that runs.
type Service struct {
	Log     *logrus.Logger
	Listen  string
	Handler http.Handler
	// Stop refuses or finishes what there is, until ctx ends.
	Stop func(ctx context.Context)
	// StopLimit bounds a planned stop.
	StopLimit time.Duration
	// Reread reads and checks the settings file again; Serve calls it at SIGHUP.
	Reread func() error
}

// Exit codes of the daemons.
const (
	ExitFailed   = 1
	ExitSettings = 2
)

// Main runs a program and exits.
func Main(p Program) {
	if err := p.command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		var coder cli.ExitCoder
		if errors.As(err, &coder) {
			os.Exit(coder.ExitCode())
		}
		os.Exit(ExitFailed)
	}
}

func (p Program) command() *cli.Command {
	file := &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` in TOML", Required: true}
	return &cli.Command{
		Name:                  p.Name,
		Usage:                 p.Usage,
		Version:               Version,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: append([]*cli.Command{
			{
				Name:  "run",
				Usage: "run until SIGTERM; a second signal ends it at once",
				Flags: []cli.Flag{file},
				Action: func(ctx context.Context, c *cli.Command) error {
					return p.run(ctx, c.String("config"))
				},
			},
			{
				Name:  "check",
				Usage: "check a settings file and report every mistake in it",
				Flags: []cli.Flag{file},
				Action: func(_ context.Context, c *cli.Command) error {
					if err := p.Check(c.String("config")); err != nil {
						return cli.Exit(err.Error(), ExitSettings)
					}
					fmt.Println(c.String("config") + ": no mistakes")
					return nil
				},
			},
		}, p.More...),
	}
}

func (p Program) run(ctx context.Context, file string) error {
	if err := p.Check(file); err != nil {
		return cli.Exit(err.Error(), ExitSettings)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	service, err := p.Start(ctx, file)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	service.Reread = func() error { return p.Check(file) }
	return service.Serve(p.Name)
}

// Serve serves until SIGTERM or SIGINT, then stops in order: new work is
// refused or finished as the daemon sees fit, and open requests end before
// the listener closes. A second signal ends the process at once. SIGHUP makes
// it read the settings again and say what is wrong with them.
func (s *Service) Serve(name string) error {
	// Signals that nobody takes end the process, so they are taken before the
	// first connection is.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go s.rereadAt(hangups)
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w; check self.listen", err)
	}
	server := link.NewServer(s.Handler)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	s.Log.WithFields(logrus.Fields{"event": "started", "program": name, "listen": s.Listen, "version": Version}).Info("serving")
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-signals:
	}
	return s.shutdown(server, signals)
}

// rereadAt reads the settings again at each signal. They are in force from the
// next start on: addresses can't change before.
func (s *Service) rereadAt(hangups <-chan os.Signal) {
	for range hangups {
		err := s.Reread()
		if err != nil {
			err = fmt.Errorf("the settings in force stay: %w", err)
		}
		s.Log.WithError(err).WithField("event", "settings_changed").Info("settings are taken at the next start")
	}
}

func (s *Service) shutdown(server *http.Server, signals <-chan os.Signal) error {
	s.Log.WithField("event", "stopping").Info("planned stop")
	ctx, cancel := context.WithTimeout(context.Background(), s.StopLimit)
	defer cancel()
	go func() {
		<-signals
		s.Log.WithField("event", "stop_forced").Warn("second signal; ending at once")
		cancel()
	}()
	s.Stop(ctx)
	if err := server.Shutdown(ctx); err != nil {
		s.Log.WithError(err).WithField("event", "stop_cut").Warn("the stop limit cut what was still open")
		return nil
	}
	s.Log.WithField("event", "stopped").Info("all requests ended")
	return nil
}
