// Package http2limits decides what a client may do on one HTTP/2 connection besides having its requests answered, and how a shared
// capacity is divided among its users. It does no I/O, reads no clock and starts no goroutine.
//
// Guarantees:
//
//  1. A connection that opens streams and receives their answers is never closed, at any rate of streams, if for each answered stream it
//     sends no more frames of each kind than the answerCredit of the kind (frameBudgets).
//  2. The kinds of frames in frameBudgets cost this side work, but open no stream. Of each kind, the number of frames that pass in any
//     period is at most the kind's burst, plus its rate times the period, plus its answerCredit for each stream that was answered in
//     the period.
//  3. If the preface, a frame or a header block is not complete within CompletionTimeout of its first byte, Conn.CheckDeadline returns a
//     reason to close the connection from Conn.Deadline on.
//  4. A header block has at most MaxHeaderFrames frames and MaxHeaderBytes bytes.
//  5. Once a Conn has returned a reason to close the connection, it always returns the same reason.
//  6. WithinDynamicThreshold never lets more than the limit be in use. A user below the floor gets a unit whenever one is free. A user at
//     or above the floor gets a unit only if it uses less than is free.
//
// Frames are those of RFC 9113, section 6. Limits that net/http enforces are not enforced here: concurrent streams
// (SETTINGS_MAX_CONCURRENT_STREAMS, and handlers that outlive their streams), the size of a header list, flow control, queued replies to
// frames, and frames that violate the protocol.
package http2limits
