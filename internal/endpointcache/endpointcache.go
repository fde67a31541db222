// Package endpointcache stores the endpoint list on disk, for a start while discovery cannot be called. The list is stored in generations:
// each has a snapshot of the complete list and a journal of the changes since. internal/decisions/cachetrust decides how far a cached list
// is trusted; this package only writes lists and reads them back, and copes with damaged files.
//
// Guarantees:
//
//  1. What Store.Snapshot or Store.Append wrote without an error is on disk when the method returns, and survives a crash.
//  2. A snapshot with any byte changed, added or removed is not used; Store.Load returns the newest generation with an intact snapshot.
//  3. A journal is read up to the first record that is damaged, torn or at the wrong position; nothing after it is used.
//  4. Two processes with the same dispatcher name may write at the same time: each writes to generations of its own. A snapshot removes
//     the generations older than the newest retainedGenerations, regardless of the process that wrote them.
//  5. Damaged generations are renamed, and the newest retainedDamaged of them are retained for inspection.
package endpointcache
