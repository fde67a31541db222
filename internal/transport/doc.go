// Package transport is the only one that opens sockets for jobs: the frontends with their listeners, the connections to workers, the
// calls to discovery, the admin API, and the handover between a process and its successor.
package transport
