package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"acaciakeel/quota"
)

// limitsTimeout bounds the request to an entry.
const limitsTimeout = 5 * time.Second

func (a *app) limitsCommand() *cli.Command {
	return &cli.Command{
		Name:  "limits",
		Usage: "show customers' use against their limits, as one entry on the platform knows it",
		Flags: []cli.Flag{&cli.StringFlag{Name: "metrics", Usage: "`IP:PORT` of the entry's metrics", Sources: cli.EnvVars("KEELCTL_METRICS"), Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, limitsTimeout)
			defer cancel()
			s, err := fetchLimits(ctx, c.String("metrics"))
			if err != nil {
				return err
			}
			if c.String("output") == outputJSON {
				return a.printJSON(s)
			}
			return a.printLimits(s)
		},
	}
}

func fetchLimits(ctx context.Context, address string) (quota.State, error) {
	var s quota.State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/limits", nil)
	if err != nil {
		return s, cli.Exit(fmt.Errorf("--metrics %s: %w", address, err), ExitUsage)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, fmt.Errorf("ask the entry: %w; check --metrics", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("the entry answered %s; check that it is one of this version on the platform", resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("read the entry's answer: %w", err)
	}
	return s, nil
}

func (a *app) printLimits(s quota.State) error {
	fmt.Fprintf(a.out, "%d of %d entries hear each other; they share %.0f%% of each limit\n", s.Reachable, s.Members, s.LimitFraction*100)
	return a.table(func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "CUSTOMER\tUNIT\tRATE/S\tBURST\tLEFT\tASKED/S\tADMITTED HERE\tREFUSED HERE\tSTATE")
		for _, u := range s.Customers {
			state := "within"
			if u.Over {
				state = "over"
			}
			fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%s\n", u.Customer, u.Unit, u.Rate, u.Burst, u.Remaining, u.TotalDemand, u.Admitted, u.Refused, state)
		}
	})
}
