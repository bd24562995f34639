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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"acaciakeel/door"
	"acaciakeel/link"
	"acaciakeel/refusal"
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
	// StopLimit is how long requests may take once a stop has begun. Then the
	// context of those still served is canceled, with a *refusal.Error as the
	// cause that they are to be answered with.
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
// refused or finished as the daemon sees fit, and whatever is read gets an
// answer. A second signal ends the process at once. SIGHUP makes it read the
// settings again and say what is wrong with them.
func (s *Service) Serve(name string) error {
	// Signals that nobody takes end the process, so they are taken before the
	// first connection is.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go s.rereadAt(hangups)
	serving, interrupt := context.WithCancelCause(context.Background())
	defer interrupt(nil)
	var leaving atomic.Bool
	server := link.NewServer(closing(s.Handler, &leaving))
	server.BaseContext = func(net.Listener) context.Context { return serving }
	d, err := door.Start(s.Listen, server, door.Telemetry{Log: s.Log})
	if err != nil {
		return fmt.Errorf("%w; check self.listen", err)
	}
	s.Log.WithFields(logrus.Fields{"event": "started", "program": name, "listen": s.Listen, "version": Version}).Info("serving")
	<-signals
	leaving.Store(true)
	s.shutdown(d, func() { interrupt(errEnding()) }, signals)
	return nil
}

// closing makes answers on HTTP/1 close their connections once a daemon leaves,
// so that callers come back on new ones, to processes that stay. HTTP/2 has a
// word of its own for the end of a connection.
func closing(h http.Handler, leaving *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
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

// lastAnswers is kept after the stop limit for the answers to requests that are
// given up: an agent that is slow to answer an entry costs up to that.
const lastAnswers = time.Second

// errEnding is the cause with which the context of requests is canceled that
// outlast a stop.
func errEnding() error {
	r := refusal.New(refusal.Stopping, "look the result up, or ask again with the same Idempotency-Key", "this process stopped before the request ended")
	r.Outcome = refusal.Unknown
	return r
}

func (s *Service) shutdown(d *door.Server, interrupt func(), signals <-chan os.Signal) {
	s.Log.WithField("event", "stopping").Info("planned stop")
	ended := make(chan bool, 1)
	go func() { ended <- s.end(d, interrupt) }()
	select {
	case <-signals:
		s.Log.WithField("event", "stop_forced").Warn("second signal; ending at once")
	case whole := <-ended:
		if !whole {
			s.Log.WithField("event", "stop_cut").Warn("the stop limit cut what was still open")
			return
		}
		s.Log.WithField("event", "stopped").Info("all requests ended")
	}
}

// end stops in order and reports whether all requests ended within the limit.
func (s *Service) end(d *door.Server, interrupt func()) bool {
	answers := time.Now().Add(s.StopLimit)
	ctx, cancel := context.WithDeadline(context.Background(), answers)
	defer cancel()
	s.Stop(ctx)
	return d.Shutdown(door.ShutdownOptions{AnswerDeadline: answers, Interrupt: interrupt, Deadline: answers.Add(lastAnswers)})
}
