// Package proxy implements the node: it forwards calls according to its configuration
// and subscribes to a relay or control replica for updates of it.
//
// # Starting
//
// A node must never serve an older version than before a restart. With a data folder,
// each configuration is saved before it is served, so a restarted node serves the saved
// one at once. Without a data folder the node waits until the control plane confirms
// that the configuration was current after the node's start; until then it rejects
// calls as not run.
package proxy
