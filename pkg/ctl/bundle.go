package ctl

import (
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/catalog"
	"bramblelift/pkg/operator"
)

// operationFlag lets a script repeat a command whose response was lost, without carrying it out twice.
type operationFlag struct {
	Operation string `long:"operation" description:"operation ID; give the same one to repeat a command whose answer was lost"`
}

func (f operationFlag) operationID(s *session) string {
	if f.Operation != "" {
		return f.Operation
	}
	operationID := operator.NewOperationID()
	fmt.Fprintln(s.stderr, "operation", operationID)
	return operationID
}

type createCommand struct {
	operationFlag
	File         string  `long:"file" value-name:"FILE" description:"bundle file in TOML"`
	Source       string  `long:"source" value-name:"NAME" description:"bundle of the configuration source"`
	FromVersion  uint64  `long:"from-version" description:"copy the content of an earlier version, for going back"`
	ExpectedHead *uint64 `long:"expect-head" description:"version that must be the newest one; default: the newest now"`
}

// Execute implements flags.Commander.
func (c *createCommand) Execute([]string) error { return nil }

func (c *createCommand) run(s *session) error {
	request := operator.CreateRequest{Source: c.Source, FromVersion: c.FromVersion, FileName: c.File}
	if c.File != "" {
		text, err := readFile(c.File)
		if err != nil {
			return err
		}
		request.TOML = text
	}
	result, err := s.create(request, c.ExpectedHead, c.operationID(s))
	if err != nil {
		return err
	}
	return s.printResult(result)
}

// create sends a request to create a version. With a nil expectedHead it expects the current head.
func (s *session) create(request operator.CreateRequest, expectedHead *uint64, operationID string) (catalog.Result, error) {
	request.OperationID = operationID
	request.ExpectedHead = expectedHead
	if expectedHead == nil {
		list, err := s.versions()
		if err != nil {
			return catalog.Result{}, err
		}
		request.ExpectedHead = &list.Head
	}
	var result catalog.Result
	err := s.call(http.MethodPost, operator.PathVersions, request, &result)
	return result, err
}

func (s *session) versions() (operator.VersionList, error) {
	var list operator.VersionList
	err := s.call(http.MethodGet, operator.PathVersions, nil, &list)
	return list, err
}

func (s *session) printResult(result catalog.Result) error {
	return s.print(result, func() {
		fmt.Fprintf(s.stdout, "version %d %s (parent %d, digest %s)\n",
			result.Version.Version, result.Status, result.Version.Parent, result.Version.Digest.Short())
	})
}

type versionArgument struct {
	Positional struct {
		Version uint64 `positional-arg-name:"VERSION" required:"yes"`
	} `positional-args:"yes"`
}

type approveCommand struct {
	operationFlag
	versionArgument
	Key     string `long:"key" required:"yes" value-name:"FILE" description:"private approval key"`
	Cluster string `long:"cluster" required:"yes" description:"cluster that the approval is for"`
}

// Execute implements flags.Commander.
func (c *approveCommand) Execute([]string) error { return nil }

func (c *approveCommand) run(s *session) error {
	result, err := s.approve(c.Positional.Version, c.Key, c.Cluster, c.operationID(s))
	if err != nil {
		return err
	}
	return s.printResult(result)
}

func (s *session) approve(number uint64, keyFile, cluster, operationID string) (catalog.Result, error) {
	key, err := bundle.LoadKeyFile(keyFile)
	if err != nil {
		return catalog.Result{}, fmt.Errorf("%w: %w", errUsage, err)
	}
	list, err := s.versions()
	if err != nil {
		return catalog.Result{}, err
	}
	for _, summary := range list.Versions {
		if summary.Manifest.Version != number {
			continue
		}
		request := operator.ApproveRequest{OperationID: operationID, Approval: bundle.Sign(key, cluster, summary.Manifest)}
		var result catalog.Result
		err := s.call(http.MethodPost, versionPath(number, "approve"), request, &result)
		return result, err
	}
	return catalog.Result{}, &catalog.OperationError{Code: catalog.CodeUnknownVersion, Message: fmt.Sprintf("version %d does not exist (head is %d)", number, list.Head)}
}

func versionPath(number uint64, action string) string {
	return fmt.Sprintf("%s/%d/%s", operator.PathVersions, number, action)
}

type rollCommand struct {
	operationFlag
	versionArgument
	Wait bool `long:"wait" description:"wait until every connected node has it in force"`
}

// Execute implements flags.Commander.
func (c *rollCommand) Execute([]string) error { return nil }

func (c *rollCommand) run(s *session) error {
	result, err := s.roll(c.Positional.Version, c.operationID(s))
	if err != nil {
		return err
	}
	if err := s.printResult(result); err != nil || !c.Wait {
		return err
	}
	return s.watch(c.Positional.Version)
}

func (s *session) roll(number uint64, operationID string) (catalog.Result, error) {
	var result catalog.Result
	err := s.call(http.MethodPost, versionPath(number, "roll"), operator.RollRequest{OperationID: operationID}, &result)
	return result, err
}

// handBackCommand activates a copy of the active version in which HandBack is set, so that the calls of each route
// go to its hand_back_service, or is cleared.
type handBackCommand struct {
	Key     string `long:"key" required:"yes" value-name:"FILE" description:"private approval key"`
	Cluster string `long:"cluster" required:"yes" description:"cluster that the approval is for"`
	Undo    bool   `long:"undo" description:"take the traffic again"`
}

// Execute implements flags.Commander.
func (c *handBackCommand) Execute([]string) error { return nil }

func (c *handBackCommand) run(s *session) error {
	list, err := s.versions()
	if err != nil {
		return err
	}
	handBack := !c.Undo
	request := operator.CreateRequest{FromVersion: list.Active, HandBack: &handBack}
	created, err := s.create(request, &list.Head, operator.NewOperationID())
	if err != nil {
		return err
	}
	number := created.Version.Version
	if _, err := s.approve(number, c.Key, c.Cluster, operator.NewOperationID()); err != nil {
		return err
	}
	result, err := s.roll(number, operator.NewOperationID())
	if err != nil {
		return err
	}
	return s.printResult(result)
}

type listCommand struct{}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error { return nil }

func (c *listCommand) run(s *session) error {
	list, err := s.versions()
	if err != nil {
		return err
	}
	return s.print(list, func() {
		table := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "VERSION\tSTATUS\tPARENT\tDIGEST\tKEY\tHAND-BACK\tCREATED\tROLLED")
		for _, v := range list.Versions {
			fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%s\t%t\t%s\t%s\n", v.Manifest.Version, v.Status, v.Manifest.Parent,
				v.Manifest.Digest.Short(), orDash(v.KeyID), v.HandBack, formatMillis(v.CreatedMillis), formatMillis(v.RolledMillis))
		}
		table.Flush()
	})
}

type checkCommand struct {
	Positional struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error { return nil }

func (c *checkCommand) run(s *session) error {
	text, err := readFile(c.Positional.File)
	if err != nil {
		return err
	}
	content, err := bundle.Parse(c.Positional.File, []byte(text))
	if err == nil {
		err = content.Validate()
	}
	if err != nil {
		return &catalog.OperationError{Code: catalog.CodeInvalidBundle, Message: err.Error()}
	}
	tree, err := bundle.NewTree(content)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.stdout, "%s: %d routes, %d services, %d secrets, digest %s\n", c.Positional.File,
		len(content.Routes), len(content.Services), len(content.Secrets), tree.Root().Short())
	return nil
}

type generateCommand struct {
	Positional struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *generateCommand) Execute([]string) error { return nil }

func (c *generateCommand) run(s *session) error {
	public, err := bundle.GenerateKeyFile(c.Positional.File)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	fmt.Fprintln(s.stdout, public)
	return nil
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func formatMillis(millis int64) string {
	if millis == 0 {
		return "-"
	}
	return time.UnixMilli(millis).UTC().Format(time.RFC3339)
}
