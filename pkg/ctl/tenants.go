package ctl

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/operator"
)

type tenantsCommand struct {
	Top int `long:"top" default:"20" description:"show so many tenants, those that use most of all first; 0 for all"`
}

// Execute implements flags.Commander.
func (c *tenantsCommand) Execute([]string) error { return nil }

func (c *tenantsCommand) run(s *session) error {
	var list operator.TenantList
	if err := s.call(http.MethodGet, operator.PathTenants, nil, &list); err != nil {
		return err
	}
	return s.print(list, func() { c.printTable(s, list) })
}

func (c *tenantsCommand) printTable(s *session, list operator.TenantList) {
	fmt.Fprintf(s.stdout, "%d tenants; %s allots to %d nodes by windows of %s\n", len(list.Tenants), list.Leader, list.Nodes, list.Window)
	table := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TENANT\tKEYS\tRATE\tBURST\tASKED/S\tUSED\tOF WINDOW\tSTATE\tALLOTTED/S")
	shown := list.Tenants
	if c.Top > 0 && len(shown) > c.Top {
		shown = shown[:c.Top]
	}
	for _, tenant := range shown {
		state, allotted, ofWindow := "free", "-", "-"
		if tenant.Limited {
			state, allotted = "limited", fmt.Sprintf("%.1f", tenant.Allotted)
		}
		if tenant.Rate > 0 {
			ofWindow = fmt.Sprintf("%.0f%%", 100*tenant.Used/(tenant.Rate*list.Window.Seconds()+tenant.Burst))
		}
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%s\t%s\t%s\n", tenant.Name, tenant.Keys, tenant.Rate, tenant.Burst,
			tenant.Asked, tenant.Used, ofWindow, state, allotted)
	}
	table.Flush()
}

type digestKeyCommand struct{}

// Execute implements flags.Commander.
func (c *digestKeyCommand) Execute([]string) error { return nil }

// run prints the digest of a tenant's key. It reads the key from standard input, so that it appears in no
// process list or shell history.
func (c *digestKeyCommand) run(s *session) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return fmt.Errorf("%w: %w", errUsage, errors.Join(errors.New("no key on standard input"), err))
	}
	if len(key) > bundle.MaxKeyLength {
		return fmt.Errorf("%w: a key may have %d bytes at most", errUsage, bundle.MaxKeyLength)
	}
	fmt.Fprintln(s.stdout, bundle.DigestKey(key))
	return nil
}
