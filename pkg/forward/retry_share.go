package forward

import "net/netip"

// retryShare returns the fraction of the call that is charged as a retry: if the back end beside the
// node makes it, the share of retries in flight there, otherwise zero. It keeps retries from
// multiplying along a chain of services.
func (c *call) retryShare() float64 {
	if c.handler.config.RetryShare == nil {
		return 0
	}
	share := c.handler.config.RetryShare()
	if share == 0 {
		return 0
	}
	from, err := netip.ParseAddrPort(c.request.RemoteAddr)
	if err != nil || from.Addr().Unmap() != c.handler.config.BackendHost {
		return 0
	}
	return share
}
