package main

import (
	"strings"
	"testing"
)

const enlist = `{"ENLIST":{"dispatcherId":3,"initSeed":9,"params":{"future":[1],"classes":[` +
	`{"aim":120000,"credit":5,"deadline":5000000,"dedupScope":"all","effect":"safe","window":5000000},` +
	`{"aim":120000,"credit":5,"deadline":5000000,"dedupScope":"zone","effect":"keyed","window":7500000},` +
	`{"aim":250000,"credit":3,"deadline":9000000,"dedupScope":"all","effect":"unsafe","window":5000000}],` +
	`"discovery":"push","familyInfo":{"tellsStart":true,"progress":2000000,"classStretch":[2,2.5,2]},` +
	`"limits":{"cancel":true,"maxAttempts":3},"loadReport":{"columns":["busy_reqs","cpu_share","x0"],"via":"piggyback"},` +
	`"locality":1,"ordinal":0,"replicasOfMe":2,"rules":{"answerSlack":20000}}}}`

func entryLine(id string) string {
	return `{"pod":0,"machine":0,"regionPart":1,"worker":"` + id + `","status":"live","weight":1}`
}

// runLines passes lines to run and returns its output.
func runLines(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := run(strings.NewReader(strings.Join(lines, "\n")), &out)
	return out.String(), err
}

func TestExchange(t *testing.T) {
	got, err := runLines(t,
		`{"SYNC":{"time":1000000}}`, `{"YOUR_TURN":{}}`,
		`{"SYNC":{"time":1005000}}`, enlist,
		`{"PAGE":{"ref":0,"nodesList":[`+entryLine("a:1")+`]}}`,
		`{"BACKENDS_CHANGED":{"dispatcherId":3,"form":"SAVED","rev":1,"ref":0}}`,
		`{"ARRIVAL":{"dispatcherId":3,"handle":7,"qos":2,"expires":6005000,"width":1}}`, `{"YOUR_TURN":{}}`,
		`{"SYNC":{"time":1010000}}`,
		`{"INTERIM":{"dispatcherId":3,"handle":7,"seqNo":0,"worker":"a:1","topic":1}}`,
		`{"PEER":{"dispatcherId":3,"neighbour":1,"content":"hi"}}`,
		`{"CLOSED_ATTEMPT":{"dispatcherId":3,"handle":7,"rtt":5000,"worker":"a:1","seqNo":0,"verdict":"E","stats":[1,0.5,2]}}`,
		`{"YOUR_TURN":{}}`)
	want := `{"FINISHED":{}}
{"FORWARD":{"dispatcherId":3,"handle":7,"worker":"a:1"}}
{"WAKE_AT":{"dispatcherId":3,"ref":1,"span":51000}}
{"FINISHED":{}}
{"END_FAILED":{"dispatcherId":3,"handle":7}}
{"FINISHED":{}}
`
	if err != nil || got != want {
		t.Errorf("error %v, answered\n%swant\n%s", err, got, want)
	}
}

// A list number may be reused within a batch: each change refers to the last list before it with its number.
func TestReusedListNumber_lastListApplies(t *testing.T) {
	got, err := runLines(t, `{"SYNC":{"time":1000000}}`, enlist, strings.ReplaceAll(enlist, `"dispatcherId":3`, `"dispatcherId":4`),
		`{"PAGE":{"ref":0,"nodesList":[`+entryLine("a:1")+`]}}`,
		`{"BACKENDS_CHANGED":{"dispatcherId":3,"form":"SAVED","ref":0}}`,
		`{"PAGE":{"ref":0,"nodesList":[`+entryLine("b:2")+`]}}`,
		`{"BACKENDS_CHANGED":{"dispatcherId":4,"form":"SAVED","ref":0}}`,
		`{"ARRIVAL":{"dispatcherId":4,"handle":1,"qos":0,"expires":6005000,"width":1}}`,
		`{"ARRIVAL":{"dispatcherId":3,"handle":2,"qos":0,"expires":6005000,"width":1}}`, `{"YOUR_TURN":{}}`)
	for _, want := range []string{
		`{"FORWARD":{"dispatcherId":4,"handle":1,"worker":"b:2"}}`, `{"FORWARD":{"dispatcherId":3,"handle":2,"worker":"a:1"}}`,
	} {
		if err != nil || !strings.Contains(got, want) {
			t.Errorf("error %v, %s is not in\n%s", err, want, got)
		}
	}
}

// After SHUTDOWN, messages for the ended instance have no effect, and the same dispatcher can be enlisted again at once.
func TestShutdown_stateDropped(t *testing.T) {
	got, err := runLines(t, `{"SYNC":{"time":1000000}}`, enlist, `{"SHUTDOWN":{"dispatcherId":3}}`, enlist,
		`{"PAGE":{"ref":5,"nodesList":[]}}`, `{"BACKENDS_CHANGED":{"dispatcherId":3,"form":"FULL","ref":5}}`,
		`{"CLOSED_ATTEMPT":{"dispatcherId":3,"handle":7,"worker":"a:1","seqNo":0,"verdict":"T"}}`,
		`{"HANGUP":{"dispatcherId":3,"handle":7}}`, `{"ELAPSED":{"dispatcherId":3,"ref":99}}`, `{"YOUR_TURN":{}}`)
	if want := "{\"FINISHED\":{}}\n"; err != nil || got != want {
		t.Errorf("error %v, answered %q, want %q", err, got, want)
	}
}

func TestMalformedInput(t *testing.T) {
	for _, c := range []struct{ name, line, want string }{
		{"not JSON", `hello`, "line 2: not a JSON object"},
		{"two messages", `{"SYNC":{},"YOUR_TURN":{}}`, "line 2: 2 messages"},
		{"no dispatcher ID", `{"ARRIVAL":{"handle":1}}`, "line 2: ARRIVAL: no dispatcherId"},
		{"dispatcher not enlisted", `{"ARRIVAL":{"dispatcherId":8,"handle":1}}`, "line 2: ARRIVAL: dispatcher 8 was not enlisted"},
		{"list not received", `{"BACKENDS_CHANGED":{"dispatcherId":3,"form":"FULL","ref":4}}`, "line 2: BACKENDS_CHANGED: list 4"},
		{"unknown form", `{"BACKENDS_CHANGED":{"dispatcherId":3,"form":"HALF","ref":4}}`, `unknown form "HALF"`},
		{"unknown verdict", `{"ECHO":{"dispatcherId":3,"worker":"a:1","verdict":"?"}}`, `unknown verdict "?"`},
		{"wrong type", `{"ARRIVAL":{"dispatcherId":3,"handle":"x"}}`, "line 2: ARRIVAL"},
		{"unknown event", `{"RAIN":{"dispatcherId":3}}`, "line 2: RAIN: unknown message"},
	} {
		if _, err := runLines(t, enlist, c.line); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q in it", c.name, err, c.want)
		}
	}
}

func TestEndOfInput(t *testing.T) {
	if got, err := runLines(t, ""); err != nil || got != "" {
		t.Errorf("empty input: error %v, answered %q", err, got)
	}
}

// After a reset of a connection that was idle, the next idle connection is closed before an attempt would use it.
func TestReset_idleConnectionsClosed(t *testing.T) {
	arrival := func(handle string) string {
		return `{"ARRIVAL":{"dispatcherId":3,"handle":` + handle + `,"qos":2,"expires":60000000,"width":1}}`
	}
	closed := func(handle, verdict string) string {
		return `{"CLOSED_ATTEMPT":{"dispatcherId":3,"handle":` + handle + `,"worker":"a:1","seqNo":0,"verdict":"` + verdict + `"}}`
	}
	got, err := runLines(t, `{"SYNC":{"time":1000000}}`, enlist, `{"PAGE":{"ref":0,"nodesList":[`+entryLine("a:1")+`]}}`,
		`{"BACKENDS_CHANGED":{"dispatcherId":3,"form":"SAVED","ref":0}}`, arrival("1"), closed("1", "S"),
		`{"SYNC":{"time":4000000}}`, arrival("2"), closed("2", "R"), `{"SYNC":{"time":7000000}}`, arrival("3"), `{"YOUR_TURN":{}}`)
	want := `{"DROP_CONNS":{"dispatcherId":3,"worker":"a:1"}}
{"FORWARD":{"dispatcherId":3,"handle":3,"worker":"a:1"}}
`
	if err != nil || !strings.Contains(got, want) {
		t.Errorf("error %v, answered\n%swant in it\n%s", err, got, want)
	}
}
