package ctl

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"bramblelift/pkg/operator"
	"bramblelift/pkg/rollout"
)

type serviceArgument struct {
	Arguments struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
	} `positional-args:"yes"`
}

func (r serviceArgument) path(suffix string) string {
	return operator.PathRollouts + "/" + url.PathEscape(r.Arguments.Service) + suffix
}

type rolloutStartCommand struct {
	serviceArgument
	Version string        `long:"version" required:"yes" description:"version that the service's calls are to go to"`
	Within  time.Duration `long:"within" required:"yes" description:"time within which the version must have proven itself"`
}

// Execute implements flags.Commander.
func (c *rolloutStartCommand) Execute([]string) error { return nil }

func (c *rolloutStartCommand) run(s *session) error {
	var started operator.Rollout
	request := operator.RolloutRequest{Service: c.Arguments.Service, Version: c.Version, Duration: c.Within}
	if err := s.call(http.MethodPost, operator.PathRollouts, request, &started); err != nil {
		return err
	}
	return s.print(started, func() {
		fmt.Fprintf(s.stdout, "rollout %d of %s to %s is %s\n", started.Number, started.Service, started.Version, started.State)
	})
}

type rolloutStopCommand struct{ serviceArgument }

// Execute implements flags.Commander.
func (c *rolloutStopCommand) Execute([]string) error { return nil }

func (c *rolloutStopCommand) run(s *session) error {
	var stopped operator.Rollout
	if err := s.call(http.MethodPost, c.path(operator.RolloutStop), nil, &stopped); err != nil {
		return err
	}
	return s.print(stopped, func() {
		fmt.Fprintf(s.stdout, "rollout %d of %s to %s is %s\n", stopped.Number, stopped.Service, stopped.Version, stopped.State)
	})
}

type rolloutHistoryCommand struct{ serviceArgument }

// Execute implements flags.Commander.
func (c *rolloutHistoryCommand) Execute([]string) error { return nil }

func (c *rolloutHistoryCommand) run(s *session) error {
	var steps operator.RolloutSteps
	if err := s.call(http.MethodGet, c.path(operator.RolloutHistory), nil, &steps); err != nil {
		return err
	}
	return s.print(steps, func() { printRolloutSteps(s, steps) })
}

func printRolloutSteps(s *session, steps operator.RolloutSteps) {
	table := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROLLOUT\tTARGET\tAFTER\tPHASE\tSHARE\tGRANTED\tREASON")
	for _, step := range steps.Steps {
		after := time.Duration(step.ShareAtMillis-step.AtMillis) * time.Millisecond
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%d\t%s\n", step.Number, step.Version, after, step.State, percent(step.Share), step.Granted, step.Reason)
	}
	table.Flush()
}

func percent(share int) string {
	return fmt.Sprintf("%.1f%%", 100*float64(share)/rollout.FullShare)
}

type rolloutStatusCommand struct{}

// Execute implements flags.Commander.
func (c *rolloutStatusCommand) Execute([]string) error { return nil }

func (c *rolloutStatusCommand) run(s *session) error {
	var list operator.RolloutList
	if err := s.call(http.MethodGet, operator.PathRollouts, nil, &list); err != nil {
		return err
	}
	return s.print(list, func() { printRollouts(s, list) })
}

func printRollouts(s *session, list operator.RolloutList) {
	for _, r := range list.Rollouts {
		fmt.Fprintf(s.stdout, "%s to %s: %s (rollout %d, step %d, share %s, deadline %s)\n", r.Service, r.Version, r.State, r.Number, r.Step,
			percent(r.Share), r.Deadline().Format(time.RFC3339))
		fmt.Fprintf(s.stdout, "  why: %s\n", r.Reason)
		fmt.Fprintf(s.stdout, "  exposure: gates of the new version were granted %d calls\n", r.Granted)
		if r.Seen != nil {
			printRolloutSeen(s, *r.Seen)
		}
	}
}

func printRolloutSeen(s *session, seen operator.RolloutSeen) {
	fmt.Fprintf(s.stdout, "  let in: %d calls by the new version's gates, %d by the old ones'\n", seen.New.Admitted, seen.Old.Admitted)
	fmt.Fprintf(s.stdout, "  go by this step: %d of %d nodes heard of, %d of %d gates\n", seen.NodesConfirmed, seen.Nodes, seen.GatesConfirmed, seen.Gates)
	for instance, running := range seen.Open {
		fmt.Fprintf(s.stdout, "  waited for: old back end %s, %d calls at work\n", instance, running)
	}
	table := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  ROUTE\tNEW FAILED\tNEW ANSWERED\tNEW MEDIAN\tOLD FAILED\tOLD ANSWERED\tOLD MEDIAN")
	for _, route := range seen.Routes {
		fmt.Fprintf(table, "  %s\t%d\t%d\t%s\t%d\t%d\t%s\n", route.Route, route.New.Failed, route.New.Answered, route.New.Median,
			route.Old.Failed, route.Old.Answered, route.Old.Median)
	}
	table.Flush()
}
