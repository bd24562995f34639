package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"acaciakeel/daemon"
	"acaciakeel/entry"
	"acaciakeel/operator"
	"acaciakeel/resource"
	"acaciakeel/store"
)

// Exit codes of keelctl.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitInvalid  = 4
	ExitUnknown  = 5
)

const description = `keelctl reads and changes what an acaciakeel deployment is to do.

Name an entry and your key once:
   export KEELCTL_ENTRY=http://10.0.0.1:4100 KEELCTL_KEY=...

Then, for example:
   keelctl apply -f fleet.toml        create or change resources
   keelctl get target                 list the targets
   keelctl get customer lanzani -o json
   keelctl status                     what is in force where
   keelctl wait                       until all processes have the last change

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 somebody else changed the
resource, 4 the resource is not valid, 5 the outcome is unknown: read, then
apply again.`

// app is one invocation of keelctl.
type app struct {
	out io.Writer
}

// Command returns the keelctl command, which writes its output to out.
func Command(out io.Writer) *cli.Command {
	a := &app{out: out}
	return &cli.Command{
		Name:                  "keelctl",
		Usage:                 "the resource API from a terminal",
		Description:           description,
		Version:               daemon.Version,
		EnableShellCompletion: true,
		Writer:                out,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "`URL` of any entry", Sources: cli.EnvVars("KEELCTL_ENTRY"), Value: "http://127.0.0.1:4100"},
			&cli.StringFlag{Name: "key", Usage: "the operator's `KEY`", Sources: cli.EnvVars("KEELCTL_KEY")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "table or json", Value: "table"},
		},
		Commands: []*cli.Command{
			a.applyCommand(),
			a.getCommand(),
			a.deleteCommand(),
			a.watchCommand(),
			a.statusCommand(),
			a.waitCommand(),
			a.verdictsCommand(),
			a.liftCommand(),
			a.limitsCommand(),
			a.hashKeyCommand(),
			a.versionCommand(),
		},
	}
}

// ExitCode returns the exit code for an error returned by Command.
func ExitCode(err error) int {
	var coder cli.ExitCoder
	var refused *operator.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coder):
		return coder.ExitCode()
	case !errors.As(err, &refused):
		return ExitFailed
	case refused.Outcome == "unknown":
		return ExitUnknown
	case refused.Status == http.StatusConflict:
		return ExitConflict
	case refused.Status == http.StatusUnprocessableEntity:
		return ExitInvalid
	}
	return ExitFailed
}

func client(c *cli.Command) *operator.Client {
	return operator.NewClient(c.String("entry"), c.String("key"))
}

func (a *app) applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "create or replace the resources in a file",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "TOML `FILE`", Required: true},
			&cli.BoolFlag{Name: "dry-run", Usage: "check only"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			manifests, err := ReadManifests(c.String("file"))
			if err != nil {
				return cli.Exit(err, ExitInvalid)
			}
			for _, m := range manifests {
				if err := a.applyOne(ctx, c, m); err != nil {
					return fmt.Errorf("apply %s %s: %w", m.Kind, m.Name, err)
				}
			}
			return nil
		},
	}
}

func (a *app) applyOne(ctx context.Context, c *cli.Command, m Manifest) error {
	old, err := client(c).Get(ctx, m.Kind, m.Name)
	if err != nil && !isNotFound(err) {
		return err
	}
	if err == nil && !old.Unsaved && sameSpec(m.Kind, old.Spec, m.Spec) {
		fmt.Fprintf(a.out, "%s %s unchanged (version %d)\n", m.Kind, m.Name, old.Version)
		return nil
	}
	change := operator.Change{Version: old.Version, ChangeID: newChangeID(), Spec: m.Spec}
	r, err := client(c).Put(ctx, m.Kind, m.Name, change, c.Bool("dry-run"))
	if err != nil {
		return err
	}
	done := "applied"
	if c.Bool("dry-run") {
		done = "would be applied"
	}
	fmt.Fprintf(a.out, "%s %s %s (version %d)\n", m.Kind, m.Name, done, r.Version)
	return nil
}

func isNotFound(err error) bool {
	var refused *operator.Error
	return errors.As(err, &refused) && refused.Status == http.StatusNotFound
}

func kindArg(c *cli.Command) (resource.Kind, error) {
	kind := resource.Kind(c.Args().Get(0))
	for _, known := range resource.Kinds() {
		if kind == known {
			return kind, nil
		}
	}
	return "", cli.Exit(fmt.Sprintf("give a kind: one of %v", resource.Kinds()), ExitUsage)
}

func (a *app) getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show one resource, or all of a kind",
		ArgsUsage: "KIND [NAME]",
		Action: func(ctx context.Context, c *cli.Command) error {
			kind, err := kindArg(c)
			if err != nil {
				return err
			}
			if name := c.Args().Get(1); name != "" {
				r, err := client(c).Get(ctx, kind, name)
				if err != nil {
					return err
				}
				return a.printResources(c, []resource.Resource{r})
			}
			items, err := listAll(ctx, client(c), kind)
			if err != nil {
				return err
			}
			return a.printResources(c, items)
		},
	}
}

func listAll(ctx context.Context, client *operator.Client, kind resource.Kind) ([]resource.Resource, error) {
	var items []resource.Resource
	after := ""
	for {
		page, err := client.List(ctx, kind, after)
		if err != nil {
			return nil, err
		}
		items = append(items, page.Items...)
		if page.Next == "" {
			return items, nil
		}
		after = page.Next
	}
}

func (a *app) deleteCommand() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete a resource",
		ArgsUsage: "KIND NAME",
		Action: func(ctx context.Context, c *cli.Command) error {
			kind, err := kindArg(c)
			if err != nil {
				return err
			}
			name := c.Args().Get(1)
			if name == "" {
				return cli.Exit("give a name", ExitUsage)
			}
			r, err := client(c).Get(ctx, kind, name)
			// A withheld resource is not in force, and deleted as version 0.
			if err != nil && !isNotFound(err) {
				return err
			}
			if _, err := client(c).Delete(ctx, kind, name, r.Version); err != nil {
				return err
			}
			fmt.Fprintf(a.out, "%s %s deleted\n", kind, name)
			return nil
		},
	}
}

// watchWait is the long-poll timeout of one watch request.
const watchWait = 20 * time.Second

func (a *app) watchCommand() *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "print each change as it comes into force, until interrupted",
		Flags: []cli.Flag{&cli.Int64Flag{Name: "after", Usage: "go on after `REVISION`; 0 begins with all there is"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			after := c.Int64("after")
			for {
				delta, err := client(c).Watch(ctx, after, watchWait)
				if err != nil {
					return err
				}
				a.printDelta(delta)
				after = delta.Revision
			}
		},
	}
}

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "what an entry knows, and what is in force where",
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := client(c).Status(ctx)
			if err != nil {
				return err
			}
			return a.printStatus(c, s)
		},
	}
}

// waitInterval is the interval between two status requests of the wait command.
const waitInterval = 100 * time.Millisecond

func (a *app) waitCommand() *cli.Command {
	return &cli.Command{
		Name:  "wait",
		Usage: "wait until the entry's revision is in force at every listed process",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second},
			&cli.Int64Flag{Name: "revision", Usage: "wait for `REVISION`; 0 is the entry's own"},
			&cli.IntFlag{Name: "processes", Usage: "wait until at least `N` processes are listed", Value: 1},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			for {
				s, err := client(c).Status(ctx)
				if err != nil {
					return err
				}
				if awaited := store.Position(c.Int64("revision")); awaited != 0 && awaited.History() < s.History {
					return fmt.Errorf("the platform's service was restored from an older copy since revision %d, which it may have lost; see keelctl status", awaited)
				}
				behind := behind(s, max(s.Revision, c.Int64("revision")))
				if len(behind) == 0 && len(s.InForce) >= c.Int("processes") {
					fmt.Fprintf(a.out, "revision %d is in force at %d processes\n", s.Revision, len(s.InForce))
					return nil
				}
				select {
				case <-time.After(waitInterval):
				case <-ctx.Done():
					return fmt.Errorf("not in force yet at %v; %d processes are listed", behind, len(s.InForce))
				}
			}
		},
	}
}

func (a *app) hashKeyCommand() *cli.Command {
	return &cli.Command{
		Name:      "hash-key",
		Usage:     "print the hash by which a key is known in resources and settings",
		ArgsUsage: "KEY",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().First() == "" {
				return cli.Exit("give a key", ExitUsage)
			}
			fmt.Fprintln(a.out, entry.HashKey(c.Args().First()))
			return nil
		},
	}
}

func (a *app) versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			fmt.Fprintln(a.out, daemon.Version)
			return nil
		},
	}
}
