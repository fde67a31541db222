// Package http2limits decides what a client may do on one HTTP/2 connection apart from having its requests answered, and how a common
// capacity is divided among its users. It does no I/O, reads no clock and starts no goroutine.
//
// Guarantees:
//
//  1. A connection that opens streams and receives their answers is never closed, at any rate, if for each answered stream it sends no
//     more frames of each kind than the answerCredit of the kind (frameBudgets).
//  2. Of each kind of frame that costs this side work and asks for none, no more are let through in any time than the kind's burst, its
//     rate times that time, and its answerCredit for each stream that was answered in it.
//  3. What has begun to be received (the preface, a frame, a header block) is complete within CompletionTimeout, or else
//     Conn.CheckDeadline closes the connection at Conn.Deadline.
//  4. A header block has at most MaxHeaderFrames frames and MaxHeaderBytes bytes.
//  5. Once a Conn has returned a reason to close the connection, it always returns the same reason.
//  6. WithinDynamicThreshold never lets more than the limit be in use. A user below the floor gets more whenever any is free. A user at or
//     above the floor gets more only if it uses less than is free.
//
// Frames are those of RFC 9113, section 6. Limits that net/http enforces are not enforced here: concurrent streams
// (SETTINGS_MAX_CONCURRENT_STREAMS, and handlers that outlive their streams), the size of a header list, flow control, queued replies to
// frames, and frames that violate the protocol.
package http2limits
