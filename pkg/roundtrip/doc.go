// Package roundtrip sends HTTP requests to other processes and decides whether the bytes that come back are a response.
//
// Every reader of another process's responses goes through a Transport: it bounds the head, rejects what is no final
// HTTP/1 response, and reports a head or body that is malformed, cut off or incomplete as an *InvalidResponse. A request
// that ends so may have run. What net/http drops or adds on the way is taken from a copy of the bytes received.
//
// Delivery records whether a request may have arrived at all.
package roundtrip
