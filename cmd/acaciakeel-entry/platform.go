package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"acaciakeel/node"
	"acaciakeel/platform"
	"acaciakeel/policy"
	"acaciakeel/telemetry"
)

// platformCommand returns the command that runs the entry on the users' platform, with the
// settings file that the platform writes.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run on the platform, by the settings that it writes, until SIGTERM",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "metrics-port", Usage: "`PORT` of /metrics, as the deploy file says", Value: 9464},
			&cli.StringSliceFlag{Name: "with", Usage: "switch a `MECHANISM` on that is off by default; may be given more than once"},
			&cli.StringSliceFlag{Name: "without", Usage: "switch the `MECHANISM` off; may be given more than once"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			settings, err := platform.LoadNodeSettings(platform.NodeSettingsPath())
			if err != nil {
				return err
			}
			without, err := policy.Select(c.StringSlice("without"), c.StringSlice("with"))
			if err != nil {
				return err
			}
			if limit := node.HeapLimit(settings.Limits.MemoryMB); limit > 0 && os.Getenv("GOMEMLIMIT") == "" {
				debug.SetMemoryLimit(limit)
			}
			lines := telemetry.NewLines(os.Stdout)
			log := telemetry.NewLoggerTo(lines, "info")
			stop := stopSignal(log)
			n := node.New(settings, node.Options{MetricsPort: c.Int("metrics-port"), DroppedLogLines: lines.Dropped, Disabled: without}, log)
			if err := n.Start(); err != nil {
				return err
			}
			<-stop
			n.Stop()
			lines.Flush(logFlushTimeout)
			return nil
		},
	}
}

// logFlushTimeout bounds the flush of the last log lines. It fits in the margin that a
// shutdown leaves before the end of the grace period.
const logFlushTimeout = 100 * time.Millisecond

// stopSignal returns a channel that is closed at the first SIGTERM or SIGINT. On SIGHUP
// the settings file is read again and its errors are logged; changes apply only after a
// restart because addresses cannot change in a running process.
func stopSignal(log logrus.FieldLogger) <-chan struct{} {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	stop := make(chan struct{})
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				rereadSettings(log)
				continue
			}
			close(stop)
			return
		}
	}()
	return stop
}

func rereadSettings(log logrus.FieldLogger) {
	_, err := platform.LoadNodeSettings(platform.NodeSettingsPath())
	if err != nil {
		err = fmt.Errorf("the settings in force stay: %w", err)
	}
	log.WithError(err).WithField("event", "settings_changed").Info("settings are taken at the next start")
}
