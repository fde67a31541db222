package main

import (
	"fmt"
	"os"
	"time"
)

func startBoxes(b *bench, log *runLog, number int, runtime func(key string) time.Duration) (boxes []*box) {
	var group *cell
	for i := range number {
		if i%6 == 0 {
			group = newCell(i/6, log)
		}
		boxes = append(boxes, newBox(b, fmt.Sprintf("s-%02d", i), group, 5, runtime))
	}
	return boxes
}

func always(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

func repeatedRuns(b *bench, log *runLog, keys []string) (breaks []string) {
	for _, key := range keys {
		runs := log.of(key)
		if len(runs) < 2 {
			continue
		}
		text := fmt.Sprintf("key %s ran %d times:", key, len(runs))
		for _, r := range runs {
			text += fmt.Sprintf(" %s at box %s (cell %d) at %.3f;", r.id, r.box, r.cell, r.at.Sub(b.begun).Seconds())
		}
		breaks = append(breaks, text)
	}
	return breaks
}

func lateArrivals(x *box, toldAt time.Time) (breaks []string) {
	for _, a := range x.arrivalsSoFar() {
		if after := a.at.Sub(toldAt); after > 550*time.Millisecond {
			breaks = append(breaks, fmt.Sprintf("box %s got %s %d ms after its drain was told", x.id, a.id, after.Milliseconds()))
		}
	}
	return breaks
}

func mkdir(path string) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		fail("%v", err)
	}
}
