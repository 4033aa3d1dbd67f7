// Package orders keeps operators' orders other than configuration: evacuations of zones and rollouts of
// services' new versions.
//
// It does no I/O and reads no clock. The table is part of the replicated state and changes only by log
// entries. Nodes receive it in the same stream as configuration, and it is as durable.
package orders
