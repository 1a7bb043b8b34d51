// Package inbound bounds what the peers of a process can make it hold: connections, memory and time.
//
// A Listener owns the connections of one port. Each connection is charged for what it occupies: itself, what its peer has
// sent of an incomplete request, and a request while it is served. If the sum would exceed the port's share of the
// machine's memory, or the connections their number, room is made at the expense of those that wait for their peer and hold
// the most or have been idle for the longest. A connection whose request is being served is never closed for others.
//
// The package charges HTTP requests read by fasthttp (NewHTTPServer, ReadBody) and calls read by grpc (CallStats).
package inbound
