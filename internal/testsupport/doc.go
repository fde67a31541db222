// Package testsupport compares what the code writes with files in testdata, and what it reads with the values these files have. Only test
// files import it.
//
// Golden files are texts and JSON that users or other programs see; [CheckGolden] compares them, and writes them anew with -update. Name the
// package whose files are to be written, and read the difference before it is committed:
//
//	go test -count=1 ./internal/command -update
//	git diff internal/command/testdata
//
// Only packages whose tests import this one have the flag, so 'go test ./... -update' fails in the others.
//
// Stored files were written by an earlier build, and are never written anew: [CheckStored] and [CheckJSON] prove that this build reads and
// writes the same bytes, and [CheckAllSet] and [CheckFieldsSet] that the values compared leave no field out.
package testsupport
