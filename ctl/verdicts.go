package ctl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"acaciakeel/platform"
	"acaciakeel/poison"
	"acaciakeel/store"
	"acaciakeel/verdicts"
)

// verdictsTimeout bounds the requests of one command to the platform's store.
const verdictsTimeout = 10 * time.Second

func storeFlag() *cli.StringFlag {
	return &cli.StringFlag{Name: "store", Usage: "`IP:PORT` of the platform's store", Sources: cli.EnvVars("KEELCTL_STORE"), Required: true}
}

func (a *app) verdictsCommand() *cli.Command {
	return &cli.Command{
		Name:  "verdicts",
		Usage: "list the contents that are refused because targets ended under them",
		Flags: []cli.Flag{storeFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, verdictsTimeout)
			defer cancel()
			listing, err := platform.NewStore("http://"+c.String("store")).List(ctx, platform.VerdictPrefix)
			if err != nil {
				return fmt.Errorf("list the verdicts: %w; check --store and that the platform's store is up", err)
			}
			return a.printVerdicts(listing.Entries, time.Now())
		},
	}
}

func (a *app) printVerdicts(entries []store.Entry, now time.Time) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CONTENT\tSERVICE\tCUSTOMER\tLAST REQUEST\tPART\tENDED\tSTATE")
	for _, e := range entries {
		v, err := verdicts.Decode(e, now)
		if err != nil {
			fmt.Fprintf(w, "%s\t\t\t\t\t\t%v\n", strings.TrimPrefix(e.Key, platform.VerdictPrefix), err)
			continue
		}
		var ended []string
		for _, life := range v.Crashed {
			ended = append(ended, life.ID)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", v.Content, v.Service, v.Customer, v.Request, cmp.Or(v.Part, "-"), strings.Join(ended, " "), verdictState(v, now))
	}
	return w.Flush()
}

func verdictState(v poison.Verdict, now time.Time) string {
	switch left := v.Until.Sub(now).Round(time.Second); {
	case v.Lifted:
		return "lifted"
	case left > 0:
		return fmt.Sprintf("refused for %s", left)
	}
	return "lapsed"
}

func (a *app) liftCommand() *cli.Command {
	return &cli.Command{
		Name:      "lift",
		Usage:     "let a content be served again that is refused because targets ended under it",
		ArgsUsage: "CONTENT",
		Flags:     []cli.Flag{storeFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			content, err := poison.ParseFingerprint(c.Args().First())
			if err != nil {
				return cli.Exit(fmt.Errorf("%w; keelctl verdicts lists them", err), ExitUsage)
			}
			ctx, cancel := context.WithTimeout(ctx, verdictsTimeout)
			defer cancel()
			return a.lift(ctx, platform.NewStore("http://"+c.String("store")), content)
		},
	}
}

// lift marks a verdict as lifted; the entries learn of it through their watch. Deleting the
// key would leave the verdict in force until it expires, because a missing key may be one
// that the store lost.
func (a *app) lift(ctx context.Context, s store.Store, content poison.Fingerprint) error {
	key := verdicts.Key(content)
	entry, err := s.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return cli.Exit("there is no verdict on this content; keelctl verdicts lists them", ExitInvalid)
	}
	if err != nil {
		return fmt.Errorf("read the verdict: %w", err)
	}
	v, err := verdicts.Decode(entry, time.Now())
	if err != nil {
		return fmt.Errorf("read the verdict: %w; an entry of another writer is not changed", err)
	}
	v.Lifted = true
	value, err := v.Encode()
	if err != nil {
		return fmt.Errorf("write the verdict: %w", err)
	}
	switch _, err = s.Put(ctx, key, value, entry.Revision, ""); {
	case errors.Is(err, store.ErrConflict):
		return cli.Exit("the verdict has just changed; list it, then lift it again", ExitConflict)
	case errors.Is(err, store.ErrUnavailable):
		return fmt.Errorf("write the verdict: %w", err)
	case err != nil:
		return cli.Exit(fmt.Errorf("write the verdict: %w; it may be lifted: list it", err), ExitUnknown)
	}
	fmt.Fprintf(a.out, "lifted %s; one more end suspects it anew\n", content)
	return nil
}
