package forward

import "net/netip"

// fromLocalBackend reports whether the back end beside the node makes the call. A call that it makes for a
// retry counts as a retry at the service that it goes to: along a chain of services, retries that are within
// bounds at each of them would add up to more than the last may get.
func (c *call) fromLocalBackend() bool {
	if c.handler.config.RetryShare == nil {
		return false
	}
	from, err := netip.ParseAddrPort(c.request.RemoteAddr)
	return err == nil && from.Addr().Unmap() == c.handler.config.BackendHost
}
