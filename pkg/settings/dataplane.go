package settings

import "time"

// These constants are the default timeouts, retry ratio and header names of the data plane.
const (
	defaultStopTimeout            = 30 * time.Second
	defaultCallerNotice           = 700 * time.Millisecond
	defaultRetryRatio             = 0.1
	defaultDeadlineHeader         = "Request-Timeout-Ms"
	defaultExpectedInstanceHeader = "Request-Expected-Instance"
	defaultCallerHeader           = "Request-Caller"
	defaultKeyHeader              = "Api-Key"
	defaultTenantHeader           = "Request-Tenant"
	defaultLimitHeader            = "Backend-Limit"
	defaultLeavingHeader          = "Backend-Draining"
	// exitDivisor is the part of Grace that StopTimeout leaves for the exit by default.
	exitDivisor = 12
)

// Headers are the names of the headers that calls carry. Deadline, ExpectedInstance, Caller, Key, Tenant, Limit and
// Leaving have defaults.
type Headers struct {
	// RequestID is a header that back ends echo, to check that a response belongs to its call. Empty disables the
	// check.
	RequestID string `toml:"request_id,omitempty"`
	// Deadline holds the remaining time in milliseconds until the caller's deadline.
	Deadline string `toml:"deadline,omitempty"`
	// ExpectedInstance names the only back end that may run the call.
	ExpectedInstance string `toml:"expected_instance,omitempty"`
	// Caller names the service that sends the call.
	Caller string `toml:"caller,omitempty"`
	// NotRun, with any value, marks a response of a back end that has not started to run the call.
	NotRun string `toml:"not_run,omitempty"`
	// Key holds the tenant's key that the caller sends. The node removes it and sets Tenant, overwriting any value
	// of the caller, to the tenant's name for the back end.
	Key    string `toml:"key,omitempty"`
	Tenant string `toml:"tenant,omitempty"`
	// Cold is a header in responses of a back end's health path: the milliseconds until the back end has warmed up
	// (bundle.Service.ColdStart).
	Cold string `toml:"cold,omitempty"`
	// Limit are the names of the header in which a back end names the calls per second that it takes from all nodes
	// together, for as long as it names them. Leaving are the names of the header, with any value but 0, in responses
	// of a back end that accepts no new calls.
	Limit   []string `toml:"limit,omitempty"`
	Leaving []string `toml:"leaving,omitempty"`
}

// Retries bounds the retries of all nodes together.
type Retries struct {
	// Ratio is the number of retries per call, from 0 to 1; zero selects the default.
	Ratio float64 `toml:"ratio,omitempty"`
}

// checkDataPlane sets the defaults of the data plane and checks its settings.
func (p *problems) checkDataPlane(x *Proxy) {
	p.checkStop(x)
	if x.Retries.Ratio == 0 {
		x.Retries.Ratio = defaultRetryRatio
	}
	setDefaultText(&x.Headers.Deadline, defaultDeadlineHeader)
	setDefaultText(&x.Headers.ExpectedInstance, defaultExpectedInstanceHeader)
	setDefaultText(&x.Headers.Caller, defaultCallerHeader)
	setDefaultText(&x.Headers.Key, defaultKeyHeader)
	setDefaultText(&x.Headers.Tenant, defaultTenantHeader)
	setDefaultTexts(&x.Headers.Limit, defaultLimitHeader)
	setDefaultTexts(&x.Headers.Leaving, defaultLeavingHeader)
	if x.Retries.Ratio < 0 || x.Retries.Ratio > 1 {
		p.add("retries.ratio", "must be from 0 to 1")
	}
	if x.GateListen == "" && x.BackendAddress == "" {
		return
	}
	p.checkAddress("gate_listen", x.GateListen)
	setDefaultText(&x.GateAdvertise, x.GateListen)
	p.checkAddress("gate_advertise", x.GateAdvertise)
	p.checkAddress("backend_address", x.BackendAddress)
	p.checkDistinct(map[string]string{"listen": x.Listen, "gate_listen": x.GateListen, "admin_listen": x.AdminListen})
	if x.Service == "" {
		p.add("service", "must be set with backend_address")
	}
}

// checkStop sets the defaults of a graceful stop and checks that it ends before the process is killed.
func (p *problems) checkStop(x *Proxy) {
	if x.Grace < 0 {
		p.add("grace", "must not be negative")
	}
	if x.Grace > 0 {
		setDefaultDuration(&x.StopTimeout, time.Duration(x.Grace-x.Grace/exitDivisor))
	}
	setDefaultDuration(&x.StopTimeout, defaultStopTimeout)
	setDefaultDuration(&x.CallerNotice, min(defaultCallerNotice, time.Duration(x.StopTimeout)/2))
	if x.CallerNotice >= x.StopTimeout {
		p.add("caller_notice", "must be shorter than stop_timeout")
	}
	if x.Grace > 0 && x.StopTimeout >= x.Grace {
		p.add("stop_timeout", "must be shorter than grace")
	}
}

func setDefaultText(target *string, value string) {
	if *target == "" {
		*target = value
	}
}

func setDefaultTexts(target *[]string, value string) {
	if len(*target) == 0 {
		*target = []string{value}
	}
}
