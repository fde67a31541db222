// Package testsupport compares output of the code with files in testdata, and values that the code reads from such files with the expected
// values. Only test files import it.
//
// Golden files are texts and JSON that users or other programs see. [CheckGolden] compares them, and rewrites them with -update. Name the
// package whose files are to be rewritten, and review the difference before you commit it:
//
//	go test -count=1 ./internal/command -update
//	git diff internal/command/testdata
//
// Only packages whose tests import this one have the flag, so 'go test ./... -update' fails in the others.
//
// Stored files were written by an earlier build and are never rewritten. [CheckStored] and [CheckJSON] check that this build reads and
// writes the same bytes. [CheckAllSet] and [CheckFieldsSet] check that the compared values set every field.
package testsupport
