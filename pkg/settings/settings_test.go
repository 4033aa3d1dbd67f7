package settings

import (
	"encoding/base64"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramblelift/pkg/bundle"

	"github.com/matryer/is"
)

func validCommon() Common {
	key := base64.StdEncoding.EncodeToString(make([]byte, 32))
	return Common{Cluster: "c", Name: "one", Zone: "z", AdminListen: "127.0.0.1:9001", ApprovalKeys: []string{key}}
}

func validProxy() Proxy {
	return Proxy{Common: validCommon(), Listen: "127.0.0.1:9000", Relays: []Peer{{Name: "r", Address: "127.0.0.1:9"}}}
}

func validControl() Control {
	return Control{
		Common: validCommon(), Data: "/tmp/x", Listen: "127.0.0.1:9000",
		Replicas: []Peer{{Name: "one", Address: "127.0.0.1:9000"}},
	}
}

func TestControlSettingsErrorsNameTheFault(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Control)
		want   string
	}{
		"good":             {func(*Control) {}, ""},
		"no cluster":       {func(c *Control) { c.Cluster = "" }, `key "cluster"`},
		"host name":        {func(c *Control) { c.Listen = "localhost:80" }, `key "listen"`},
		"same address":     {func(c *Control) { c.AdminListen = c.Listen }, "is also the address of"},
		"no data":          {func(c *Control) { c.Data = "" }, `key "data"`},
		"even replicas":    {func(c *Control) { c.Replicas = append(c.Replicas, Peer{Name: "two", Address: "127.0.0.1:1"}) }, "must be odd"},
		"not a replica":    {func(c *Control) { c.Replicas[0].Name = "two" }, "itself is not among them"},
		"no replica":       {func(c *Control) { c.Replicas = nil }, `key "replica": none is named`},
		"bad key":          {func(c *Control) { c.ApprovalKeys = []string{"x"} }, `key "approval_keys"`},
		"no key":           {func(c *Control) { c.ApprovalKeys = nil }, `key "approval_keys"`},
		"fast election":    {func(c *Control) { c.ElectionTimeout = 1 }, `key "election_timeout"`},
		"zones without it": {func(c *Control) { c.Zones = map[string]string{"other": "east"} }, `key "zones"`},
		"negative period":  {func(c *Control) { c.PlatformInterval = -1 }, `key "platform_interval"`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := validControl()
			test.change(&config)
			err := config.Check()
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil && strings.Contains(err.Error(), test.want))
		})
	}
}

func TestRelayAndProxySettingsGetDefaultsAndAreChecked(t *testing.T) {
	is := is.New(t)
	relay := Relay{Common: validCommon(), Listen: "127.0.0.1:9000", Controls: []Peer{{Name: "c", Address: "127.0.0.1:9"}}}
	is.NoErr(relay.Check())
	is.True(relay.PingInterval > 0) // the default is set
	relay.SilenceTimeout = relay.PingInterval
	is.True(strings.Contains(relay.Check().Error(), `key "silence_timeout"`))
	proxy := validProxy()
	is.NoErr(proxy.Check())
	proxy.Group = "*"
	is.True(strings.Contains(proxy.Check().Error(), `key "group"`))
}

func TestSettingsFileErrorsNameFileAndLine(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "control.toml")
	is.NoErr(os.WriteFile(path, []byte("cluster = \"c\"\ncolor = \"red\"\n"), 0o600))
	err := Load(path, &Control{})
	is.True(err != nil && strings.Contains(err.Error(), path+`:2: unknown key "color"`))
	is.NoErr(os.WriteFile(path, []byte("heartbeat_interval = \"often\"\n"), 0o600))
	err = Load(path, &Control{})
	is.True(err != nil && strings.Contains(err.Error(), path+":1"))
	is.True(Load(path+".missing", &Control{}) != nil)
	is.NoErr(Load("", &Control{}))
}

func TestKeyFilesAreRelativeToTheSettingsFile(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	path := filepath.Join(folder, "relay.toml")
	key := validCommon().ApprovalKeys[0]
	is.NoErr(os.WriteFile(path, []byte("approval_key_files = [\"approval.key.pub\"]\n"), 0o600))
	err := Load(path, &Relay{})
	is.True(err != nil && strings.Contains(err.Error(), "approval_key_files"))
	is.NoErr(os.WriteFile(filepath.Join(folder, "approval.key.pub"), []byte(key+"\n"), 0o600))
	relay := Relay{}
	is.NoErr(Load(path, &relay))
	is.Equal(relay.ApprovalKeys, []string{key})
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join("..", "..", "examples", "by-hand")
	for name, target := range map[string]interface {
		Settings
		Check() error
	}{"control-1.toml": &Control{}, "control-2.toml": &Control{}, "control-3.toml": &Control{}, "relay-1.toml": &Relay{}, "proxy-1.toml": &Proxy{}} {
		text, err := os.ReadFile(filepath.Join(folder, name))
		is.NoErr(err)
		// The example expects a key file that its user generates; any key is valid here.
		path := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(path, text, 0o600))
		is.NoErr(os.WriteFile(filepath.Join(filepath.Dir(path), "approval.key.pub"), []byte(validCommon().ApprovalKeys[0]), 0o600))
		is.NoErr(Load(path, target))
		is.NoErr(target.Check())
	}
}

// Guards against a node that cuts its calls long before it is killed, or is killed before it has stopped.
func TestStopTimeoutFollowsTheGrace(t *testing.T) {
	is := is.New(t)
	for grace, want := range map[time.Duration]time.Duration{6 * time.Second: 5500 * time.Millisecond, 12 * time.Second: 11 * time.Second, 0: defaultStopTimeout} {
		config := validProxy()
		config.Grace = bundle.Duration(grace)
		is.NoErr(config.Check())
		is.Equal(time.Duration(config.StopTimeout), want)
	}
	config := validProxy()
	config.Grace, config.StopTimeout = bundle.Duration(6*time.Second), bundle.Duration(6*time.Second)
	is.True(strings.Contains(config.Check().Error(), `key "stop_timeout"`))
}

// Guards against a node that cancels all calls at the end of the caller notice, which has used up the stop.
func TestCallerNoticeLeavesTimeToDrain(t *testing.T) {
	is := is.New(t)
	config := validProxy()
	config.Grace, config.CallerNotice = bundle.Duration(2*time.Second), bundle.Duration(2400*time.Millisecond)
	err := config.Check()
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `key "caller_notice"`))
}
