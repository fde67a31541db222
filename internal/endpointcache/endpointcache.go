// Package endpointcache stores the endpoint list on disk, for a start while discovery cannot be called. It stores generations: each is
// a snapshot, which is written whole, and a journal of the changes since. How far a cached list is trusted is decided in
// internal/decisions/cachetrust; this package only writes lists and reads them back, damaged files included.
//
// Guarantees:
//
//  1. What Store.Snapshot or Store.Append wrote without an error is on disk when the method returns, and survives a crash.
//  2. A snapshot with any byte changed, added or removed is not used; Store.Load returns the newest older generation that is whole.
//  3. A journal is read up to the first record that is damaged, torn or out of place; nothing after it is used.
//  4. Two processes with the same dispatcher name may write at the same time: each writes to generations of its own. A snapshot removes
//     the generations beyond the newest retainedGenerations, whichever process wrote them.
//  5. Damaged generations are renamed, and the newest retainedDamaged of them are retained for inspection.
package endpointcache
