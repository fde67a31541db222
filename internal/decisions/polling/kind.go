package polling

// Kind is the kind of a call to discovery.
type Kind uint8

// The kinds of calls.
const (
	Watch    Kind = iota // continues a watch: waits until the list changes, LongPollWait at most
	Poll                 // returns what is newer than the known revision without waiting; a watch may follow it
	FullList             // returns the full list without waiting
)

// String returns the name of a kind in log lines.
func (k Kind) String() string {
	return [...]string{Watch: "watch", Poll: "poll", FullList: "full_list"}[k]
}
