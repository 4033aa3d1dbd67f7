package bundle

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const callPolicyBundle = `
[limits]
max_body_bytes = 1000
idle_timeout = "15s"

[[service]]
name = "new"
[[service]]
name = "old"

[[route]]
name = "orders"
host = "shop.example"
path_prefix = "/orders/"
kind = "unsafe"
max_attempts = 2
priority = 1
target_latency = "250ms"
timeout = "600ms"
  [[route.share]]
  service = "new"
  weight = 90
  [[route.share]]
  service = "old"
  weight = 10
`

func TestParseReadsCallPolicies(t *testing.T) {
	is := is.New(t)
	content, err := Parse("bundle.toml", []byte(callPolicyBundle))
	is.NoErr(err)
	is.NoErr(content.Validate())
	is.Equal(content.Limits, Limits{MaxBodyBytes: 1000, IdleTimeout: Duration(15 * time.Second)})
	is.Equal(content.Routes[0], Route{
		Name: "orders", Host: "shop.example", PathPrefix: "/orders/", Kind: KindUnsafe, MaxAttempts: 2, Priority: 1,
		TargetLatency: Duration(250 * time.Millisecond), Timeout: Duration(600 * time.Millisecond),
		Shares: []Share{{Service: "new", Weight: 90}, {Service: "old", Weight: 10}},
	})
	is.Equal(len(content.Scope("anybody").Services), 2) // the services of all shares are included
	is.Equal(Content{}.Apply(Diff(Content{}, content)), content)
}

func TestValidateRejectsInvalidCallPolicies(t *testing.T) {
	for name, change := range map[string][2]string{
		"unknown kind":        {`"unsafe"`, `"maybe"`},
		"weights sum to 0":    {"weight = 90", "weight = 0"},
		"weight below 0":      {"weight = 90", "weight = -1"},
		"share and service":   {`kind = "unsafe"`, `service = "new"`},
		"unknown service":     {`service = "new"`, `service = "nobody"`},
		"negative priority":   {"priority = 1", "priority = -1"},
		"negative limit":      {"max_body_bytes = 1000", "max_body_bytes = -1"},
		"two of one place":    {"[[route]]", "[[route]]\nname = \"x\"\nhost = \"Shop.example\"\npath_prefix = \"/orders/\"\nservice = \"new\"\n[[route]]"},
		"no slash at the top": {`"/orders/"`, `"orders/"`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(callPolicyBundle, change[0], change[1], 1)
			if name == "weights sum to 0" {
				text = strings.Replace(text, "weight = 10", "weight = 0", 1)
			}
			content, err := Parse("bundle.toml", []byte(text))
			is.NoErr(err)
			var invalid *ValidationError
			is.True(errors.As(content.Validate(), &invalid))
		})
	}
}
