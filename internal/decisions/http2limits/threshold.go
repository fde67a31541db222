package http2limits

// WithinDynamicThreshold reports whether one of several users of a shared capacity gets one more unit. limit is the capacity, total the
// number of units that all users have, and own the number that this user has. A user that has fewer units than floor gets one whenever
// one is free. Any other user gets one only while it has fewer units than are free.
//
// This is the dynamic threshold of A. Choudhury and E. Hahne ("Dynamic Queue Length Thresholds for Shared-Memory Packet Switches",
// IEEE/ACM Transactions on Networking 6(2), 1998) with a factor of one: if n users each request all of the capacity, each gets 1/(n+1) of
// it. n need not be known, and a new user always finds capacity.
func WithinDynamicThreshold(limit, total, own, floor int) bool {
	return total < limit && (own < floor || own < limit-total)
}
