// Package orders keeps what operators have ordered besides configuration: zones whose back ends get
// nothing new, and rollouts of a service's new version.
//
// It does no I/O and reads no clock. The table is part of the replicated state: it changes by log
// entries only, goes to all nodes with the stream that brings configuration, and outlives what a
// configuration outlives.
package orders
