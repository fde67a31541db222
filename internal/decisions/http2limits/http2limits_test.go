package http2limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// TestConn_answeredStreamsNeverClose checks guarantee 1: a client whose streams are answered may send as many other frames as the credits
// allow, at any rate.
func TestConn_answeredStreamsNeverClose(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		conn, now := New(0), time.Duration(0)
		conn.PrefaceCompleted()
		for range rapid.IntRange(1, 400).Draw(t, "streams") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Microsecond
			frames := []Frame{{Kind: Headers, Flags: EndHeaders}, {Kind: Data, Length: 3}, {Kind: Data, Length: 2000, Flags: EndStream},
				{Kind: WindowUpdate}, {Kind: WindowUpdate}, {Kind: Ping}, {Kind: Settings, Flags: Ack}}
			if rapid.Bool().Draw(t, "reset") {
				frames = append(frames, Frame{Kind: Reset})
			}
			for _, frame := range frames {
				if frame.Kind == Settings && now > 0 { // a single ACK for the settings of this side
					continue
				}
				conn.FrameStarted(now)
				if reason := conn.FrameReceived(now, frame); reason != "" {
					t.Fatalf("%+v closes the connection for %s", frame, reason)
				}
				conn.FrameCompleted()
			}
			conn.StreamAnswered()
			if reason := conn.CheckDeadline(now + time.Hour); reason != "" {
				t.Fatalf("an idle connection is closed for %s", reason)
			}
		}
	})
}

// floodFrames has a frame of each budget.
var floodFrames = []struct {
	frame  Frame
	reason CloseReason
}{
	{Frame{Kind: Reset}, TooManyResets},
	{Frame{Kind: Ping}, TooManyPings},
	{Frame{Kind: Settings}, TooManySettings},
	{Frame{Kind: Priority}, TooManyPriorities},
	{Frame{Kind: WindowUpdate}, TooManyWindowUpdates},
	{Frame{Kind: Data}, TooManyTinyDataFrames},
	{Frame{Kind: 0x42}, TooManyUnknownFrames},
}

// TestConn_floodsClose checks guarantees 2 and 5: floods close the connection within their budgets, regardless of the frames in between,
// and the reason does not change.
func TestConn_floodsClose(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		conn, now := New(0), time.Duration(0)
		passed, answered := map[CloseReason]float64{}, 0.0
		closedFor := CloseReason("")
		for range rapid.IntRange(1, 3000).Draw(t, "frames") {
			now += time.Duration(rapid.IntRange(0, 2).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 20).Draw(t, "what") == 0 {
				conn.StreamAnswered()
				answered++
			}
			flood := rapid.SampledFrom(floodFrames).Draw(t, "kind")
			reason := conn.FrameReceived(now, flood.frame)
			if closedFor != "" && reason != closedFor {
				t.Fatalf("closed for %q, then %q", closedFor, reason)
			}
			if closedFor = reason; reason == "" {
				passed[flood.reason]++
			}
			budget := frameBudgets[flood.reason]
			if limit := budget.burst + budget.rate*now.Seconds() + budget.answerCredit*answered; passed[flood.reason] > limit {
				t.Fatalf("%s: %v frames passed, want %v at most", flood.reason, passed[flood.reason], limit)
			}
		}
	})
}

// TestConn_eachFloodClosesAtItsBurst checks guarantee 2: each flood by itself closes the connection for its own reason, at its burst.
func TestConn_eachFloodClosesAtItsBurst(t *testing.T) {
	for _, flood := range floodFrames {
		conn := New(0)
		for i := 0; ; i++ {
			if reason := conn.FrameReceived(0, flood.frame); reason != "" {
				if reason != flood.reason || i != int(frameBudgets[reason].burst) {
					t.Errorf("%+v closes the connection after %d frames for %s", flood.frame, i, reason)
				}
				break
			}
		}
	}
	conn := New(0)
	for i := range 1000 {
		if reason := conn.FrameSent(0, Frame{Kind: Reset}); reason != "" {
			if i != int(frameBudgets[TooManyResets].burst) {
				t.Errorf("the connection is closed after %d resets of this side, want the burst", i)
			}
			return
		}
	}
	t.Error("1000 resets of this side do not close the connection")
}

// TestConn_incompleteInTime checks guarantees 3 and 4: a preface, frame or header block that is not complete within CompletionTimeout
// closes the connection, and so does a header block that is too long.
func TestConn_incompleteInTime(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		conn, now := New(0), time.Duration(0)
		openSince := time.Duration(0) // since when the preface or a header block is incomplete, if open
		open := true
		if rapid.Bool().Draw(t, "preface") {
			conn.PrefaceCompleted()
			open = false
		}
		headerFrames, headerOpen := 0, false
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			if reason := conn.CheckDeadline(now); reason != "" {
				if !open || now < openSince+CompletionTimeout {
					t.Fatalf("closed at %v for %s; incomplete since %v (valid only if open: %v)", now, reason, openSince, open)
				}
				return
			}
			if open && now >= openSince+CompletionTimeout {
				t.Fatalf("not closed at %v, incomplete since %v", now, openSince)
			}
			frame := Frame{Kind: Headers}
			if headerOpen {
				frame.Kind = Continuation
			}
			if rapid.Bool().Draw(t, "last") {
				frame.Flags = EndHeaders
			}
			if !open {
				openSince = now
			}
			conn.FrameStarted(now)
			if headerFrames++; !headerOpen {
				headerFrames = 1
			}
			reason := conn.FrameReceived(now, frame)
			if (reason == HeaderTooLong) != (headerFrames > MaxHeaderFrames) {
				t.Fatalf("%d header frames: got reason %q to close", headerFrames, reason)
			}
			if reason != "" {
				return
			}
			conn.FrameCompleted()
			headerOpen = frame.Flags&EndHeaders == 0
			open = headerOpen
		}
	})
	conn := New(0)
	if reason := conn.FrameReceived(0, Frame{Kind: Headers, Length: MaxHeaderBytes + 1}); reason != HeaderTooLong {
		t.Errorf("a header block of too many bytes: got reason %q to close", reason)
	}
}

// TestWithinDynamicThreshold_fair checks guarantee 6: the dynamic threshold does not exceed the limit, serves users below the floor, and
// leaves capacity free.
func TestWithinDynamicThreshold_fair(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		limit, floor := rapid.IntRange(1, 60).Draw(t, "limit"), rapid.IntRange(0, 4).Draw(t, "floor")
		open, total := map[int]int{}, 0
		for range 300 {
			user := rapid.IntRange(0, 5).Draw(t, "who")
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 && open[user] > 0 {
				open[user]--
				total--
				continue
			}
			ok := WithinDynamicThreshold(limit, total, open[user], floor)
			if open[user] < floor && total < limit && !ok {
				t.Fatal("a user below the floor is rejected although capacity is free")
			}
			if !ok {
				continue
			}
			open[user]++
			if total++; total > limit {
				t.Fatal("more than the limit is in use")
			}
			if open[user] > floor && limit-total < open[user]-1 {
				t.Fatalf("a user above the floor has %d units, but only %d are free", open[user], limit-total)
			}
		}
	})
}

// FuzzConn checks that budgets, deadlines and the reason to close are consistent after any frames in any order.
func FuzzConn(f *testing.F) {
	f.Add([]byte{1, 4, 0, 3, 0, 9, 1, 0, 0, 9, 0, 0})
	f.Add([]byte{3, 0, 1, 3, 0, 1, 6, 0, 2, 8, 0, 255})
	f.Fuzz(func(t *testing.T, in []byte) {
		conn, now, closedFor := New(0), time.Duration(0), CloseReason("")
		for ; len(in) >= 3; in = in[3:] {
			now += time.Duration(in[2]) * 10 * time.Millisecond
			conn.FrameStarted(now)
			reason := conn.FrameReceived(now, Frame{Kind: Kind(in[0]), Flags: in[1], Length: uint32(in[2]) << 6})
			if closedFor != "" && reason != closedFor {
				t.Fatalf("closed for %q, then %q", closedFor, reason)
			}
			closedFor = reason
			if in[1]&1 == 0 {
				conn.FrameCompleted()
			}
			if at, ok := conn.Deadline(); ok && at > now+CompletionTimeout {
				t.Fatalf("the deadline is at %v, more than CompletionTimeout after %v", at, now)
			}
			for budgetReason, spent := range conn.spent {
				if spent < 0 || closedFor == "" && spent > frameBudgets[budgetReason].burst {
					t.Fatalf("%s: %v frames are spent, want 0 to the burst", budgetReason, spent)
				}
			}
		}
	})
}
