// Package experiment measures the system: how long changes take to be in force, what
// control traffic costs by link, and how both stand against plain baselines in the same
// run. Control replicas and relays are real processes; most nodes are hollow ones that
// share the bench's process.
package experiment
