// Package standins has what the cases of the second review share: a small deployment of the project's own processes
// on loopback addresses, and stand-ins for the operator, clients and back ends, written after the users' pages.
package standins
