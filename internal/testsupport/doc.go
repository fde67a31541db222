// Package testsupport compares what the code writes with files in testdata, and what it reads with the values these files have. Only test
// files import it.
//
// Golden files are texts and JSON that users or other programs see; [CheckGolden] writes them anew with -update. Stored files were
// written by an earlier build, and are never written anew: [CheckStored] and [CheckJSON] prove that this build reads and writes the same
// bytes, and [CheckAllSet] and [CheckFieldsSet] that the values compared leave no field out.
package testsupport
