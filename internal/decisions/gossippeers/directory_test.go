package gossippeers

import (
	"fmt"
	"testing"
)

// BenchmarkDirectoryRefresh refreshes a directory with 800 lease holders of eight zones.
func BenchmarkDirectoryRefresh(b *testing.B) {
	var members []LeaseHolder
	for i := range 800 {
		members = append(members, LeaseHolder{fmt.Sprint("n", i), "127.0.0.1:1", fmt.Sprint("r", i%3), fmt.Sprint("z", i%8)})
	}
	directory := NewDirectory()
	for b.Loop() {
		directory.Refresh(members, 0)
	}
}
