// Package daemon holds what the daemons share: the command line, the settings file,
// the server and the orderly shutdown.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"acaciakeel/door"
	"acaciakeel/link"
	"acaciakeel/refusal"
)

// Version is the product version.
const Version = "0.1.0"

// Program describes a daemon executable.
type Program struct {
	Name  string
	Usage string
	// Check reads and validates a settings file.
	Check func(file string) error
	// Start reads the settings file and starts the daemon.
	Start func(ctx context.Context, file string) (*Service, error)
	// More are additional commands of the program.
	More []*cli.Command
}

// Service is a running daemon.
type Service struct {
	Log     *logrus.Logger
	Listen  string
	Handler http.Handler
	// Stop completes or refuses the outstanding work until ctx ends.
	Stop func(ctx context.Context)
	// StopLimit is how long requests may take after a shutdown has begun. After that, the
	// context of each remaining request is canceled; its cause is the *refusal.Error with
	// which the request must be answered.
	StopLimit time.Duration
	// Reread reads and validates the settings file again. Serve calls it on SIGHUP.
	Reread func() error
}

// Exit codes of the daemons.
const (
	ExitFailed   = 1
	ExitSettings = 2
)

// Main runs the program and exits the process if it fails.
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

// Serve serves requests until SIGTERM or SIGINT and then shuts down: Stop completes or
// refuses new work, and every request that has been read gets an answer. A second signal
// ends the process at once. On SIGHUP the settings file is read again and its errors are
// logged.
func (s *Service) Serve(name string) error {
	// The default action of these signals ends the process, so the handlers are installed
	// before the first connection is accepted.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go s.rereadOnSignal(hangups)
	serving, interrupt := context.WithCancelCause(context.Background())
	defer interrupt(nil)
	var stopping atomic.Bool
	server := link.NewServer(closeOnShutdown(s.Handler, &stopping))
	server.BaseContext = func(net.Listener) context.Context { return serving }
	d, err := door.Start(s.Listen, server, door.Telemetry{Log: s.Log})
	if err != nil {
		return fmt.Errorf("%w; check self.listen", err)
	}
	s.Log.WithFields(logrus.Fields{"event": "started", "program": name, "listen": s.Listen, "version": Version}).Info("serving")
	<-signals
	stopping.Store(true)
	s.shutdown(d, func() { interrupt(errStopping()) }, signals)
	return nil
}

// closeOnShutdown adds "Connection: close" to HTTP/1 responses during a shutdown, so that
// clients reconnect to processes that keep running. HTTP/2 has GOAWAY for this purpose.
func closeOnShutdown(h http.Handler, stopping *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// rereadOnSignal validates the settings file at each signal. Changes apply only after a
// restart because addresses cannot change in a running process.
func (s *Service) rereadOnSignal(hangups <-chan os.Signal) {
	for range hangups {
		err := s.Reread()
		if err != nil {
			err = fmt.Errorf("the settings in force stay: %w", err)
		}
		s.Log.WithError(err).WithField("event", "settings_changed").Info("settings are taken at the next start")
	}
}

// interruptedAnswerTimeout is the time after StopLimit for answering the interrupted
// requests. An agent that is slow to answer can delay an entry by up to this long.
const interruptedAnswerTimeout = time.Second

// errStopping returns the cancellation cause for requests that exceed StopLimit.
func errStopping() error {
	r := refusal.New(refusal.Stopping, "look the result up, or ask again with the same Idempotency-Key", "this process stopped before the request ended")
	r.Outcome = refusal.Unknown
	return r
}

func (s *Service) shutdown(d *door.Server, interrupt func(), signals <-chan os.Signal) {
	s.Log.WithField("event", "stopping").Info("planned stop")
	ended := make(chan bool, 1)
	go func() { ended <- s.drain(d, interrupt) }()
	select {
	case <-signals:
		s.Log.WithField("event", "stop_forced").Warn("second signal; ending at once")
	case complete := <-ended:
		if !complete {
			s.Log.WithField("event", "stop_cut").Warn("the stop limit cut what was still open")
			return
		}
		s.Log.WithField("event", "stopped").Info("all requests ended")
	}
}

// drain shuts the service down and reports whether all requests ended within StopLimit.
func (s *Service) drain(d *door.Server, interrupt func()) bool {
	deadline := time.Now().Add(s.StopLimit)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	s.Stop(ctx)
	return d.Shutdown(door.ShutdownOptions{AnswerDeadline: deadline, Interrupt: interrupt, Deadline: deadline.Add(interruptedAnswerTimeout)})
}
