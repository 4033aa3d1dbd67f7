package integration

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramblelift/pkg/bench/fleet"
	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/ctl"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/roundtrip"

	"github.com/matryer/is"
)

// platformResponses are the invalid responses that the platform's servers can send: theirs name no request.
func platformResponses() []standin.InvalidResponse {
	var responses []standin.InvalidResponse
	for _, c := range standin.PromptInvalidResponses() {
		if c.Fault != roundtrip.FaultOtherRequest {
			responses = append(responses, c)
		}
	}
	return responses
}

// countLogged returns how often the logs of the control replicas contain a text.
func (s *system) countLogged(text string) int {
	count := 0
	for _, replica := range s.Controls {
		log, err := os.ReadFile(replica.Log)
		is.New(s.t).NoErr(err)
		count += strings.Count(string(log), text)
	}
	return count
}

// awaitListRequests waits until the platform has received further requests.
func (s *system) awaitListRequests(count int) {
	s.t.Helper()
	started := s.platform.RequestCount()
	for deadline := time.Now().Add(callTimeout); s.platform.RequestCount() < started+count; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatal("control does not read the platform's list")
		}
	}
}

// Guards against real replicas that take a list or a bundle from bytes which are no response.
func TestControlTakesNothingFromInvalidResponses(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	machines := s.backends.Machines()
	for i := range machines {
		machines[i].Leaving = true
	}
	list, err := json.Marshal(map[string]any{"machines": machines})
	is.NoErr(err)
	text := s.profile.BundleText("never-created")
	const changed = "event=endpoints_changed"
	changes := s.countLogged(changed)
	is.True(changes > 0)
	for _, c := range platformResponses() {
		rawList, rawBundle := c.WithBody(string(list)), c.WithBody(text)
		s.platform.RespondRaw(&rawList, &rawBundle)
		code, out := s.runCtl("bundle", "create", "--source", "shop")
		if code != ctl.ExitRefused || !strings.Contains(out, "source-unavailable") {
			t.Errorf("%s: exit %d: %s", c.Name, code, out)
		}
		s.awaitListRequests(1)
	}
	s.awaitListRequests(1) // the list before was read to its end
	is.Equal(s.countLogged(changed), changes)
	is.True(s.countLogged("event=platform_list_unreadable") > 0)
	s.platform.RespondRaw(nil, nil)
	s.platform.SetBundle("shop", text)
	code, out := s.runCtl("bundle", "create", "--source", "shop")
	is.True(code == ctl.ExitOK && strings.Contains(out, "version 2 created"))
}

// Guards against the real bramblectl showing operators what it read from bytes that are no response.
func TestCommandLineTakesNothingFromInvalidResponses(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	binary, err := fleet.FindBinary()
	is.NoErr(err)
	body, err := json.Marshal(operator.VersionList{Head: 4242})
	is.NoErr(err)
	code, want := s.runCtl("bundle", "list")
	is.Equal(code, ctl.ExitOK)
	for _, c := range platformResponses() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go c.WithBody(string(body)).Serve(listener, standin.RawHeaders{RequestID: "X-Id", NotRun: "X-Not-Run"})
		arguments := []string{"--timeout", "8s", "--control", listener.Addr().String()}
		for _, address := range s.Operators() {
			arguments = append(arguments, "--control", address)
		}
		out, err := exec.Command(filepath.Join(filepath.Dir(binary), "bramblectl"), append(arguments, "bundle", "list")...).CombinedOutput()
		listener.Close()
		if err != nil || string(out) != want {
			t.Errorf("%s: %v: %s", c.Name, err, out)
		}
	}
}
