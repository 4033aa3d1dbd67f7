package integration

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"bramblelift/pkg/bench/fleet"
	"bramblelift/pkg/ctl"
	"bramblelift/pkg/operator"

	"github.com/matryer/is"
)

// runCtl runs bramblectl in this process and returns its exit code and output.
func (s *system) runCtl(arguments ...string) (code int, out string) {
	var stdout, stderr bytes.Buffer
	all := []string{"--timeout", "8s"}
	for _, address := range s.Operators() {
		all = append(all, "--control", address)
	}
	code = ctl.Main(append(all, arguments...), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

func (s *system) writeBundle(name, text string) string {
	path := filepath.Join(s.t.TempDir(), name)
	is.New(s.t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestCommandLineExitCodesAndOutput guards the exit code and output of each command.
func TestCommandLineExitCodesAndOutput(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	expect := func(want int, contains string, arguments ...string) string {
		t.Helper()
		code, out := s.runCtl(arguments...)
		if code != want || !strings.Contains(out, contains) {
			t.Fatalf("%v: exit %d, expected %d with %q:\n%s", arguments, code, want, contains, out)
		}
		return out
	}
	text := s.profile.BundleText("hidden-credential")
	good := s.writeBundle("good.toml", text)
	sign := []string{"--key", s.KeyFile, "--cluster", "test"}

	expect(ctl.ExitOK, "4 routes", "bundle", "check", good)
	expect(ctl.ExitOK, "version 2 created", "bundle", "create", "--file", good, "--operation", "first")
	expect(ctl.ExitOK, "version 2 created", "bundle", "create", "--file", good, "--operation", "first", "--expect-head", "1")
	expect(ctl.ExitConflict, "version 2", "bundle", "create", "--file", good, "--expect-head", "1")
	expect(ctl.ExitConflict, "operation-id-reused", "bundle", "create", "--from-version", "1", "--operation", "first")
	expect(ctl.ExitRefused, "not-approved", "bundle", "roll", "2")
	expect(ctl.ExitRefused, "need a signature", "bundle", "publish", "--file", good)
	expect(ctl.ExitRefused, "unknown-version", "bundle", "roll", "99")
	expect(ctl.ExitOK, "approved", append([]string{"bundle", "approve", "2"}, sign...)...)
	expect(ctl.ExitInvalid, "invalid-approval", "bundle", "approve", "2", "--key", s.KeyFile, "--cluster", "another")
	expect(ctl.ExitOK, "in force on 4 of 4", "bundle", "roll", "2", "--wait")
	expect(ctl.ExitOK, "in force on 4 of 4", "watch", "2")
	expect(ctl.ExitOK, `"in_force": 4`, "watch", "2", "--json")
	expect(ctl.ExitRefused, "superseded", "bundle", "roll", "1")
	diff := expect(ctl.ExitOK, `changed secret "backend-credential"`, "diff", "1", "2")
	is.True(!strings.Contains(diff, "hidden-credential")) // secret values are not shown
	expect(ctl.ExitOK, "HAND-BACK", "bundle", "list")
	expect(ctl.ExitOK, "version 3 active", append([]string{"bundle", "hand-back"}, sign...)...)
	expect(ctl.ExitOK, "version 4 created", "bundle", "create", "--from-version", "2")

	bad := s.writeBundle("bad.toml", strings.ReplaceAll(text, `secret = "backend-credential"`, `secret = "other"`))
	expect(ctl.ExitInvalid, `secret "other" is not in the bundle`, "bundle", "create", "--file", bad)
	expect(ctl.ExitInvalid, `secret "other" is not in the bundle`, "bundle", "check", bad)
	typo := s.writeBundle("typo.toml", text+"\ncolour = 1\n")
	expect(ctl.ExitInvalid, "unknown key", "bundle", "create", "--file", typo)
	expect(ctl.ExitUsage, "no such file", "bundle", "create", "--file", "missing.toml")
	expect(ctl.ExitUsage, "", "bundle", "roll")
	expect(ctl.ExitUsage, "", "dance")

	expect(ctl.ExitOK, "FINGERPRINT", "suspects")
	expect(ctl.ExitRefused, "unknown-suspect", "suspects", "--lift", "0123456789abcdef01234567")
	var status operator.Status
	is.NoErr(json.Unmarshal([]byte(expect(ctl.ExitOK, "{", "status", "--json")), &status))
	is.Equal(status.Head, uint64(4))
	var nodes []operator.Node
	is.NoErr(json.Unmarshal([]byte(expect(ctl.ExitOK, "[", "proxies", "--json")), &nodes))
	is.True(len(nodes) >= len(s.Proxies))
	expect(ctl.ExitOK, "GO_FLAGS_COMPLETION", "completion")
	expect(ctl.ExitOK, "bramblectl", "version")
}

// TestBundleIsCreatedFromConfigurationSource guards against versions created while the
// configuration source is unavailable or lacks the bundle.
func TestBundleIsCreatedFromConfigurationSource(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	s.platform.SetBundle("shop", s.profile.BundleText("from-source"))
	s.platform.SetDown(true)
	code, out := s.runCtl("bundle", "create", "--source", "shop")
	is.True(code == ctl.ExitRefused && strings.Contains(out, "source-unavailable"))
	s.platform.SetDown(false)
	code, out = s.runCtl("bundle", "create", "--source", "nothing")
	is.True(code == ctl.ExitRefused && strings.Contains(out, "source-unavailable"))
	code, out = s.runCtl("bundle", "create", "--source", "shop")
	is.True(code == ctl.ExitOK && strings.Contains(out, "version 2 created"))
}

// runDaemon runs bramblelift until it exits and returns its exit code and output.
func runDaemon(t *testing.T, arguments ...string) (code int, out string) {
	t.Helper()
	binary, err := fleet.FindBinary()
	is.New(t).NoErr(err)
	command := exec.Command(binary, arguments...)
	output, _ := command.CombinedOutput()
	return command.ProcessState.ExitCode(), string(output)
}

// TestDaemonRejectsWrongSettingsAndForeignData guards against a daemon that runs with
// another role's settings or another replica's data folder.
func TestDaemonRejectsWrongSettingsAndForeignData(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	settingsFile := func(name string) string { return filepath.Join(s.Config.Folder, name+".toml") }
	code, out := runDaemon(t, "control", "--settings", settingsFile("control-1"), "--check")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "election_timeout = '1s'")) // effective settings, with defaults
	code, out = runDaemon(t, "control", "--settings", settingsFile("proxy-1"), "--check")
	is.True(code == 2 && strings.Contains(out, "unknown key")) // settings of another role
	code, _ = runDaemon(t, "relay", "--settings", settingsFile("nobody"))
	is.Equal(code, 2)
	code, out = runDaemon(t, "control", "--settings", settingsFile("control-1"), "--init")
	is.True(code == 1 && strings.Contains(out, "already holds one"))
	s.Controls[0].Kill()
	code, out = runDaemon(t, "control", "--settings", settingsFile("control-2"), "--data", s.DataFolder("control-1"))
	is.True(code == 1 && strings.Contains(out, "belongs to"))
}
