// Package quarantine detects requests whose processing crashes back ends (queries of death) and keeps them
// from reaching further back ends. It does no I/O and reads no clock.
//
// Callers repeat such a request, each time with a new ID and at any node, and each attempt crashes one more
// back end with all its calls in flight. No single node sees enough crashes, so the control plane combines the
// evidence of all gates.
package quarantine
