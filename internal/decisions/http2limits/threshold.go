package http2limits

// WithinDynamicThreshold reports whether one of several users of a common capacity gets one unit more, where limit is the capacity, total
// what all use, and own what this one uses: below the floor whenever any is free, and above it as long as it uses less than is free.
//
// This is the dynamic threshold of A. Choudhury and E. Hahne ("Dynamic Queue Length Thresholds for Shared-Memory Packet Switches",
// IEEE/ACM Transactions on Networking 6(2), 1998) with a factor of one: n users that want all get 1/(n+1) each, n need not be known, and a
// new user always finds capacity.
func WithinDynamicThreshold(limit, total, own, floor int) bool {
	return total < limit && (own < floor || own < limit-total)
}
