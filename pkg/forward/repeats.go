package forward

import "net/netip"

// ofBackendBeside reports whether the back end beside the node makes the call. Calls that it makes for a repeat
// are repeats of the service that they go to: along a chain of services a tenth of repeats at each would add up to
// more than each may get.
func (c *call) ofBackendBeside() bool {
	if c.handler.config.RepeatShare == nil {
		return false
	}
	from, err := netip.ParseAddrPort(c.request.RemoteAddr)
	return err == nil && from.Addr().Unmap() == c.handler.config.BackendHost
}
