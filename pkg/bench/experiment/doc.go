// Package experiment measures the convergence time of changes, the control traffic by
// link and the latency and goodput of the data plane, and compares them with baselines in
// the same run. Control replicas and relays are real processes. Most nodes of the
// convergence experiment are hollow: they share the process of bramblebench.
package experiment
