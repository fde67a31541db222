package http2limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Promise 1: whoever has jobs answered may do as much beside as the credits say, at any rate.
func TestAnsweredIsNeverEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(0), time.Duration(0)
		c.PrefaceCompleted()
		for range rapid.IntRange(1, 400).Draw(t, "streams") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Microsecond
			frames := []Frame{{Kind: Headers, Flags: EndHeaders}, {Kind: Data, Length: 3}, {Kind: Data, Length: 2000, Flags: EndStream},
				{Kind: WindowUpdate}, {Kind: WindowUpdate}, {Kind: Ping}, {Kind: Settings, Flags: Ack}}
			if rapid.Bool().Draw(t, "given up") {
				frames = append(frames, Frame{Kind: Reset})
			}
			for _, f := range frames {
				if f.Kind == Settings && now > 0 { // one for the settings of this side
					continue
				}
				c.FrameStarted(now)
				if why := c.FrameReceived(now, f); why != "" {
					t.Fatalf("%+v: %s", f, why)
				}
				c.FrameCompleted()
			}
			c.StreamAnswered()
			if why := c.CheckDeadline(now + time.Hour); why != "" {
				t.Fatalf("idle: %s", why)
			}
		}
	})
}

var costly = []struct {
	frame Frame
	why   CloseReason
}{
	{Frame{Kind: Reset}, TooManyResets}, {Frame{Kind: Ping}, TooManyPings}, {Frame{Kind: Settings}, TooManySettings}, {Frame{Kind: Priority}, TooManyPriorities},
	{Frame{Kind: WindowUpdate}, TooManyWindowUpdates}, {Frame{Kind: Data}, TooManyTinyDataFrames}, {Frame{Kind: 0x42}, TooManyUnknownFrames},
}

// Promise 2, and 5: floods end within their budgets whatever comes between, and stay ended.
func TestFloodsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(0), time.Duration(0)
		passed, answered := map[CloseReason]float64{}, 0.0
		ended := CloseReason("")
		for range rapid.IntRange(1, 3000).Draw(t, "frames") {
			now += time.Duration(rapid.IntRange(0, 2).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 20).Draw(t, "what") == 0 {
				c.StreamAnswered()
				answered++
			}
			flood := rapid.SampledFrom(costly).Draw(t, "kind")
			why := c.FrameReceived(now, flood.frame)
			if ended != "" && why != ended {
				t.Fatalf("ended for %q, then %q", ended, why)
			}
			if ended = why; why == "" {
				passed[flood.why]++
			}
			b := budgets[flood.why]
			if most := b.burst + b.rate*now.Seconds() + b.credit*answered; passed[flood.why] > most {
				t.Fatalf("%s: %v passed, %v at most", flood.why, passed[flood.why], most)
			}
		}
	})
}

// Each flood by itself ends for its own reason, at its burst.
func TestEachFlood(t *testing.T) {
	for _, flood := range costly {
		c := New(0)
		for i := 0; ; i++ {
			if why := c.FrameReceived(0, flood.frame); why != "" {
				if why != flood.why || i != int(budgets[why].burst) {
					t.Errorf("%+v ended after %d for %s", flood.frame, i, why)
				}
				break
			}
		}
	}
	c := New(0)
	for i := range 1000 {
		if why := c.FrameSent(0, Frame{Kind: Reset}); why != "" {
			if i != int(budgets[TooManyResets].burst) {
				t.Errorf("resets of this side ended it after %d", i)
			}
			return
		}
	}
	t.Error("a client may have any number of streams reset")
}

// Promises 3 and 4.
func TestHalves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(0), time.Duration(0)
		first := time.Duration(0) // of the oldest that is half there
		half := true
		if rapid.Bool().Draw(t, "preface") {
			c.PrefaceCompleted()
			half = false
		}
		fragments, inHead := 0, false
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			if why := c.CheckDeadline(now); why != "" {
				if !half || now < first+CompletionTimeout {
					t.Fatalf("ended at %v for %s; half since %v: %v", now, why, first, half)
				}
				return
			}
			if half && now >= first+CompletionTimeout {
				t.Fatalf("at %v still there, half since %v", now, first)
			}
			f := Frame{Kind: Headers}
			if inHead {
				f.Kind = Continuation
			}
			if rapid.Bool().Draw(t, "last") {
				f.Flags = EndHeaders
			}
			if !half {
				first = now
			}
			half = true
			c.FrameStarted(now)
			if fragments++; !inHead {
				fragments = 1
			}
			why := c.FrameReceived(now, f)
			if (why == HeaderTooLong) != (fragments > MaxHeaderFrames) {
				t.Fatalf("%d fragments: %q", fragments, why)
			}
			if why != "" {
				return
			}
			c.FrameCompleted()
			inHead = f.Flags&EndHeaders == 0
			half = inHead
		}
	})
	c := New(0)
	if why := c.FrameReceived(0, Frame{Kind: Headers, Length: MaxHeaderBytes + 1}); why != HeaderTooLong {
		t.Errorf("a head of too many bytes: %q", why)
	}
}

// Promise 6.
func TestFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, floor := rapid.IntRange(1, 60).Draw(t, "limit"), rapid.IntRange(0, 4).Draw(t, "floor")
		held, total := map[int]int{}, 0
		for range 300 {
			who := rapid.IntRange(0, 5).Draw(t, "who")
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 && held[who] > 0 {
				held[who]--
				total--
				continue
			}
			ok := WithinDynamicThreshold(limit, total, held[who], floor)
			if held[who] < floor && total < limit && !ok {
				t.Fatal("no room below the floor")
			}
			if !ok {
				continue
			}
			held[who]++
			if total++; total > limit {
				t.Fatal("more than the limit")
			}
			if held[who] > floor && limit-total < held[who]-1 {
				t.Fatalf("%d held, %d free", held[who], limit-total)
			}
		}
	})
}

// FuzzConn feeds frames as they come: no order of them is beyond the budgets' meaning.
func FuzzConn(f *testing.F) {
	f.Add([]byte{1, 4, 0, 3, 0, 9, 1, 0, 0, 9, 0, 0})
	f.Add([]byte{3, 0, 1, 3, 0, 1, 6, 0, 2, 8, 0, 255})
	f.Fuzz(func(t *testing.T, in []byte) {
		c, now, ended := New(0), time.Duration(0), CloseReason("")
		for ; len(in) >= 3; in = in[3:] {
			now += time.Duration(in[2]) * 10 * time.Millisecond
			c.FrameStarted(now)
			why := c.FrameReceived(now, Frame{Kind: Kind(in[0]), Flags: in[1], Length: uint32(in[2]) << 6})
			if ended != "" && why != ended {
				t.Fatalf("ended for %q, then %q", ended, why)
			}
			ended = why
			if in[1]&1 == 0 {
				c.FrameCompleted()
			}
			if at, ok := c.Deadline(); ok && at > now+CompletionTimeout {
				t.Fatalf("due at %v, now %v", at, now)
			}
			for of, spent := range c.spent {
				if spent < 0 || ended == "" && spent > budgets[of].burst {
					t.Fatalf("%s: %v spent", of, spent)
				}
			}
		}
	})
}
