// Package quarantine recognises requests under which back ends end, and keeps them away from
// further ones. It does no I/O and reads no clock.
//
// Such a request (a query of death) comes again and again, each time under a new ID and at any
// node, and each try costs one more back end with all other calls that it has. No node sees enough
// of it, so the evidence of all gates is put together.
package quarantine
