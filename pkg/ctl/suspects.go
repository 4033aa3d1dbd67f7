package ctl

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/operator"
)

type suspectsCommand struct {
	Lift string `long:"lift" value-name:"FINGERPRINT" description:"let a request through again, on trial: one more back end that ends under it and it is kept away for longer"`
}

// Execute implements flags.Commander.
func (c *suspectsCommand) Execute([]string) error { return nil }

func (c *suspectsCommand) run(s *session) error {
	if c.Lift != "" {
		var result catalog.Result
		if err := s.call(http.MethodPost, operator.PathSuspects+"/"+url.PathEscape(c.Lift)+"/lift", nil, &result); err != nil {
			return err
		}
		return s.print(result, func() { fmt.Fprintf(s.stdout, "%s is let through again\n", c.Lift) })
	}
	var list operator.SuspectList
	if err := s.call(http.MethodGet, operator.PathSuspects, nil, &list); err != nil {
		return err
	}
	return s.print(list, func() { printSuspects(s, list) })
}

func printSuspects(s *session, list operator.SuspectList) {
	table := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FINGERPRINT\tSTANDING\tENDED\tVOID\tTERMS\tLAST BACK END\tSERVICE\tCALLER")
	for _, suspect := range list.Suspects {
		void := 0
		for _, end := range suspect.Ends {
			if end.Void {
				void++
			}
		}
		last := suspect.Ends[len(suspect.Ends)-1]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n", suspect.Fingerprint, suspect.Standing, len(suspect.Ends), void,
			suspect.Terms, last.Instance, last.Way.Service, last.Way.Caller)
	}
	table.Flush()
}
