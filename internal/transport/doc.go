// Package transport opens the sockets of a dispatcher, except those for its fleet: the frontends with their listeners, the connections
// to workers, the calls to discovery, the admin API, and the handover between a process and its successor.
package transport
